package org.vanillacove.coordination.scheduling;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.coordination.session.SessionPlan;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.WorkerState;

/**
 * The leader's contact with all workers: fences them, suspends silent ones and publishes the
 * session plan. All methods run on the scheduler's shard.
 */
final class WorkerWatcher {
  /** Rounds of upkeep between two fetches of the platform's worker list. */
  private static final int LIST_ROUNDS = 5;

  /** Rounds of upkeep between two records that show the leader's life while a member is silent. */
  private static final int KEEPALIVE_ROUNDS = 5;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Parts that the work rests on. */
  private final LeaderContext context;

  /** Serialises the term. */
  private final EventShard shard;

  /** Epoch of the term. */
  private final long epoch;

  /** Takes whole inventories. */
  private final InventoryHandler inventories;

  /** Takes lapses. */
  private final LapseHandler lapses;

  /** Told of workers that can be used from now on. */
  private final Consumer<String> contacts;

  /** Tells when leases have lapsed. */
  private final LapseClock clock;

  /** Workers by identifier. */
  private final Map<String, WorkerWatch> workers = new TreeMap<>();

  /** Workers whose record of joining is under way. */
  private final Set<String> joining = new HashSet<>();

  /** Hosts whose record of leaving is under way. */
  private final Set<String> removing = new HashSet<>();

  /** Monotonic time of the start of the term in milliseconds. */
  private final long startedAtMillis;

  /** Number of the newest plan. */
  private long version;

  /** Hosts of the newest plan. */
  private Set<String> plannedHosts = Set.of();

  /** Whether the plan has to be published anew. */
  private boolean outdated = true;

  /** Rounds of upkeep so far. */
  private int rounds;

  /** Whether the term has ended. */
  private boolean over;

  WorkerWatcher(
      LeaderContext context,
      EventShard shard,
      long epoch,
      InventoryHandler inventories,
      LapseHandler lapses,
      Consumer<String> contacts) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.inventories = inventories;
    this.lapses = lapses;
    this.contacts = contacts;
    this.startedAtMillis = context.timer().monotonicMillis();
    this.clock =
        new LapseClock(
            context.timings(),
            context.peers(),
            context.selfId(),
            epoch,
            startedAtMillis,
            context.store().read(CellState::hosts));
  }

  /** Takes the whole inventory of a worker. */
  @FunctionalInterface
  interface InventoryHandler {
    /** Handles an inventory that was asked for at a monotonic time in milliseconds. */
    void handle(String workerId, List<TaskReport> reports, long askedAtMillis);
  }

  /** Takes note of leases that have lapsed for certain. */
  @FunctionalInterface
  interface LapseHandler {
    /** Handles the lapse of all leases of a class on a worker. */
    void handle(String workerId, LossPolicy loss);
  }

  /** Publishes the first plan and fences all workers. */
  void start() {
    flushPlan();
    for (WorkerWatch worker : new ArrayList<>(workers.values())) {
      probe(worker);
    }
    fetchList();
  }

  void close() {
    over = true;
  }

  /** Adds a worker, to be fenced before it is used. */
  void add(WorkerSpec spec) {
    joining.remove(spec.id());
    WorkerWatch known = workers.get(spec.id());
    if (known != null) {
      known.setSpec(spec);
      return;
    }
    WorkerWatch worker = new WorkerWatch(spec);
    workers.put(spec.id(), worker);
    outdated = true;
    if (version > 0) {
      probe(worker);
    }
  }

  void remove(String workerId) {
    workers.remove(workerId);
    outdated = true;
  }

  boolean isUsable(String workerId) {
    WorkerWatch worker = workers.get(workerId);
    return worker != null && worker.isUsable();
  }

  WorkerSpec specOf(String workerId) {
    return workers.get(workerId).spec();
  }

  void suspend(String workerId) {
    workers.get(workerId).suspend();
    outdated = true;
    flushPlan();
  }

  /** Returns whether a worker without contact could run a task of {@code spec} unseen. */
  boolean couldRunUnseen(JobSpec spec, String exceptWorkerId) {
    return workers.values().stream()
        .anyMatch(
            worker ->
                worker.isUnknownFor(spec.loss())
                    && !worker.spec().id().equals(exceptWorkerId)
                    && spec.constraints().allows(worker.spec()));
  }

  /** Publishes a new plan if something changed. */
  void flushPlan() {
    Set<String> holders = sessionHolders();
    if (!outdated && holders.equals(plannedHosts)) {
      return;
    }
    outdated = false;
    plannedHosts = holders;
    version++;
    PlanStamp stamp = new PlanStamp(epoch, version);
    Set<String> suspended = new TreeSet<>();
    long now = context.timer().monotonicMillis();
    for (WorkerWatch worker : workers.values()) {
      if (worker.isSuspended()) {
        suspended.add(worker.spec().id());
        worker.published(stamp, now);
      }
    }
    context.plans().adopt(new SessionPlan(stamp, new TreeSet<>(holders), suspended));
  }

  /** Fences silent workers, looks for lapses, the worker list and dead hosts. */
  void maintain() {
    long now = context.timer().monotonicMillis();
    context.plans().noteLeaderClock(epoch, now);
    clock.observe(now);
    flushPlan();
    for (WorkerWatch worker : new ArrayList<>(workers.values())) {
      if (worker.isSuspended()) {
        checkLapse(worker, now);
        probe(worker);
      }
    }
    if (rounds % LIST_ROUNDS == 0) {
      fetchList();
    }
    removeDeadHosts(now);
    keepAlive();
    rounds++;
  }

  /** Returns the live hosts; the leader holds sessions only if it is alone in its region. */
  private Set<String> sessionHolders() {
    Set<String> holders = new TreeSet<>();
    List<HostSpec> hosts = context.store().read(CellState::hosts);
    for (HostSpec host : hosts) {
      if (isLive(host) && (!isSelf(host) || !hasLiveNeighbour(host, hosts))) {
        holders.add(host.id());
      }
    }
    return holders;
  }

  private boolean isLive(HostSpec host) {
    return context.membership().isReachable(host.id())
        && !context.membership().isLeaving(host.id());
  }

  private boolean isSelf(HostSpec host) {
    return host.id().equals(context.selfId());
  }

  private boolean hasLiveNeighbour(HostSpec host, List<HostSpec> hosts) {
    return hosts.stream()
        .anyMatch(
            other ->
                !other.id().equals(host.id())
                    && other.zone().region().equals(host.zone().region())
                    && isLive(other));
  }

  private void probe(WorkerWatch worker) {
    if (worker.isProbing() || context.standing().remainingMillis() <= 0) {
      return;
    }
    worker.setProbing(true);
    long sent = context.timer().monotonicMillis();
    context
        .gateway()
        .send(worker.spec(), new WorkerCommand.Fence(epoch))
        .thenAccept(reply -> shard.execute(() -> probed(worker, reply, sent)));
  }

  private void probed(WorkerWatch worker, WorkerReply reply, long sent) {
    worker.setProbing(false);
    String id = worker.spec().id();
    boolean current = !over && workers.get(id) == worker && worker.isSuspended();
    if (current && reply instanceof WorkerReply.Done done) {
      worker.fenced(sent);
      outdated = true;
      inventories.handle(id, done.tasks(), sent);
      contacts.accept(id);
    }
  }

  private void checkLapse(WorkerWatch worker, long now) {
    List<HostSpec> region =
        context.store().read(CellState::hosts).stream()
            .filter(host -> host.zone().region().equals(worker.spec().zone().region()))
            .toList();
    if (clock.isConfirmed(region, worker.suspendedIn())) {
      worker.confirmed(now);
    }
    for (LossPolicy loss : LossPolicy.values()) {
      if (worker.isUnknownFor(loss) && clock.hasLapsed(worker, loss, now)) {
        worker.lapsed(loss);
        lapses.handle(worker.spec().id(), loss);
      }
    }
    boolean empty =
        context
            .store()
            .read(state -> state.worker(worker.spec().id()))
            .map(state -> state.running().isEmpty())
            .orElse(false);
    if (worker.isAllLapsed() && empty && !worker.isListed()) {
      String id = worker.spec().id();
      CellRecord lost =
          new CellRecord.WorkerChanged(id, WorkerStatus.LOST, "gone from the platform's list");
      context.writer().write(epoch, lost);
    }
  }

  private void fetchList() {
    context
        .gateway()
        .listWorkers()
        .thenAccept(list -> shard.execute(() -> list.ifPresent(this::takeList)));
  }

  private void takeList(List<WorkerSpec> list) {
    if (over) {
      return;
    }
    Set<String> listed = new HashSet<>();
    for (WorkerSpec spec : list) {
      listed.add(spec.id());
      Optional<WorkerState> known = context.store().read(state -> state.worker(spec.id()));
      boolean same = known.isPresent() && known.get().spec().equals(spec);
      boolean lost = known.isPresent() && known.get().status() == WorkerStatus.LOST;
      if (lost && !joining.contains(spec.id())) {
        rejoin(spec);
      } else if (!same && joining.add(spec.id())) {
        join(spec);
      }
    }
    workers.values().forEach(worker -> worker.setListed(listed.contains(worker.spec().id())));
  }

  private void join(WorkerSpec spec) {
    LOGGER.atInfo().log("scheduling: worker %s joins.", spec.id());
    context
        .writer()
        .write(epoch, new CellRecord.WorkerJoined(spec))
        .thenAccept(result -> shard.execute(() -> joining.remove(spec.id())));
  }

  /** Lets a worker that was lost join again once it answers and runs nothing. */
  private void rejoin(WorkerSpec spec) {
    joining.add(spec.id());
    context
        .gateway()
        .send(spec, new WorkerCommand.Fence(epoch))
        .thenAccept(reply -> shard.execute(() -> fencedAgain(spec, reply)));
  }

  private void fencedAgain(WorkerSpec spec, WorkerReply reply) {
    if (!(reply instanceof WorkerReply.Done done) || over) {
      joining.remove(spec.id());
      return;
    }
    boolean idle = true;
    for (TaskReport report : done.tasks()) {
      if (report.ended().isEmpty()) {
        idle = false;
        context
            .gateway()
            .send(spec, new WorkerCommand.Stop(epoch, report.task(), report.attempt(), false));
      }
    }
    if (idle) {
      join(spec);
    } else {
      joining.remove(spec.id());
    }
  }

  /** Takes hosts out of the membership that are dead for certain or may be left out safely. */
  private void removeDeadHosts(long now) {
    List<HostSpec> hosts = context.store().read(CellState::hosts);
    for (HostSpec host : hosts) {
      long heardAt = context.peers().heardAtMillis(host.id()).orElse(startedAtMillis);
      boolean silent =
          !host.id().equals(context.selfId())
              && now - Math.max(heardAt, startedAtMillis)
                  > context.timings().hostRemoval().toMillis();
      if (silent && isSpare(host, hosts) && removing.add(host.id())) {
        context
            .writer()
            .write(epoch, new CellRecord.HostLeft(host.id(), "silent"))
            .thenAccept(result -> shard.execute(() -> removing.remove(host.id())));
      }
    }
  }

  private boolean isSpare(HostSpec host, List<HostSpec> hosts) {
    List<HostSpec> region =
        hosts.stream().filter(other -> other.zone().region().equals(host.zone().region())).toList();
    return region.size() > 2
        && clock.isConfirmed(region, new PlanStamp(epoch, Math.max(1, version - 1)));
  }

  private void keepAlive() {
    boolean allHeard =
        context.store().read(CellState::hosts).stream()
            .allMatch(host -> context.membership().isReachable(host.id()));
    if (!allHeard && rounds % KEEPALIVE_ROUNDS == 0) {
      context.writer().write(epoch, new CellRecord.StateDigest(-1, 0));
    }
  }
}
