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
import org.vanillacove.coordination.stream.SerialExecutor;
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
 * Tracks the leader's contact with all workers: fences them, suspends unresponsive ones and
 * publishes the session plan. All methods run on the scheduler's shard.
 */
final class WorkerMonitor {
  /** Maintenance rounds between two fetches of the platform's worker list. */
  private static final int WORKER_LIST_ROUNDS = 5;

  /**
   * Maintenance rounds between records that show the leader is alive while a member is unreachable.
   */
  private static final int KEEPALIVE_ROUNDS = 5;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Services and settings used by the leader. */
  private final LeaderContext context;

  /** Executor on which all code of the term runs. */
  private final SerialExecutor shard;

  /** Leadership epoch of the term. */
  private final long epoch;

  /** Receives the inventories that workers return when they are fenced. */
  private final InventoryHandler inventoryHandler;

  /** Ends tasks whose leases have certainly expired. */
  private final LeaseExpiryHandler expiryHandler;

  /** Called with the identifier of each worker that becomes usable. */
  private final Consumer<String> usableListener;

  /** Determines when leases have certainly expired. */
  private final LeaseExpiryTracker expiryTracker;

  /** Workers of the cell except lost ones, by identifier. */
  private final Map<String, MonitoredWorker> workers = new TreeMap<>();

  /** Workers that are being added and whose join record has no outcome yet. */
  private final Set<String> joiningWorkers = new HashSet<>();

  /** Hosts whose leave record has no outcome yet. */
  private final Set<String> removingHosts = new HashSet<>();

  /** Monotonic time of the start of the term in milliseconds. */
  private final long startedAtMillis;

  /** Version of the newest plan within the epoch. */
  private long planVersion;

  /** Session holders of the newest plan. */
  private Set<String> plannedHosts = Set.of();

  /** Whether the set of workers or suspensions changed since the newest plan. */
  private boolean planOutdated = true;

  /** Number of maintenance rounds in this term. */
  private int maintenanceRounds;

  /** Whether the term has ended. */
  private boolean closed;

  WorkerMonitor(
      LeaderContext context,
      SerialExecutor shard,
      long epoch,
      InventoryHandler inventoryHandler,
      LeaseExpiryHandler expiryHandler,
      Consumer<String> usableListener) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.inventoryHandler = inventoryHandler;
    this.expiryHandler = expiryHandler;
    this.usableListener = usableListener;
    this.startedAtMillis = context.timer().monotonicMillis();
    this.expiryTracker =
        new LeaseExpiryTracker(
            context.timings(),
            context.peers(),
            context.selfId(),
            epoch,
            startedAtMillis,
            context.store().read(CellState::hosts));
  }

  /** Receives complete inventories of workers. */
  @FunctionalInterface
  interface InventoryHandler {
    /** Handles an inventory that was requested at a monotonic time in milliseconds. */
    void handle(String workerId, List<TaskReport> reports, long requestedAtMillis);
  }

  /** Receives leases that have certainly expired. */
  @FunctionalInterface
  interface LeaseExpiryHandler {
    /** Handles the expiry of all leases of a loss policy on a worker. */
    void handle(String workerId, LossPolicy loss);
  }

  /** Publishes the first plan of the term and fences all workers. */
  void start() {
    publishPlanIfChanged();
    for (MonitoredWorker worker : new ArrayList<>(workers.values())) {
      sendFence(worker);
    }
    fetchWorkerList();
  }

  void close() {
    closed = true;
  }

  /** Adds a worker, which is fenced before it is used, or updates its specification. */
  void add(WorkerSpec spec) {
    joiningWorkers.remove(spec.id());
    MonitoredWorker known = workers.get(spec.id());
    if (known != null) {
      known.setSpec(spec);
      return;
    }
    MonitoredWorker worker = new MonitoredWorker(spec);
    workers.put(spec.id(), worker);
    planOutdated = true;
    if (planVersion > 0) {
      sendFence(worker);
    }
  }

  void remove(String workerId) {
    workers.remove(workerId);
    planOutdated = true;
  }

  boolean isUsable(String workerId) {
    MonitoredWorker worker = workers.get(workerId);
    return worker != null && worker.isUsable();
  }

  WorkerSpec specOf(String workerId) {
    return workers.get(workerId).spec();
  }

  void suspend(String workerId) {
    workers.get(workerId).suspend();
    planOutdated = true;
    publishPlanIfChanged();
  }

  /** Returns whether a worker out of contact could still run a task of {@code spec}. */
  boolean couldRunUndetected(JobSpec spec, String exceptWorkerId) {
    return workers.values().stream()
        .anyMatch(
            worker ->
                worker.mayStillRun(spec.loss())
                    && !worker.spec().id().equals(exceptWorkerId)
                    && spec.constraints().allows(worker.spec()));
  }

  /** Publishes a new plan if workers, suspensions or session holders changed. */
  void publishPlanIfChanged() {
    Set<String> holders = sessionHolders();
    if (!planOutdated && holders.equals(plannedHosts)) {
      return;
    }
    planOutdated = false;
    plannedHosts = holders;
    planVersion++;
    PlanStamp stamp = new PlanStamp(epoch, planVersion);
    Set<String> suspended = new TreeSet<>();
    long now = context.timer().monotonicMillis();
    for (MonitoredWorker worker : workers.values()) {
      if (worker.isSuspended()) {
        suspended.add(worker.spec().id());
        worker.markPlanPublished(stamp, now);
      }
    }
    context.plans().adopt(new SessionPlan(stamp, new TreeSet<>(holders), suspended));
  }

  /** Fences suspended workers, checks their leases, the worker list and unresponsive hosts. */
  void maintain() {
    long now = context.timer().monotonicMillis();
    context.plans().updateLeaderClock(epoch, now);
    expiryTracker.recordClaimConfirmations(now);
    publishPlanIfChanged();
    for (MonitoredWorker worker : new ArrayList<>(workers.values())) {
      if (worker.isSuspended()) {
        checkLeaseExpiry(worker, now);
        sendFence(worker);
      }
    }
    if (maintenanceRounds % WORKER_LIST_ROUNDS == 0) {
      fetchWorkerList();
    }
    removeUnresponsiveHosts(now);
    writeKeepalive();
    maintenanceRounds++;
  }

  /** Returns the live hosts; the leader is left out unless it is the only one in its region. */
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

  private void sendFence(MonitoredWorker worker) {
    if (worker.isFencePending() || context.hostLease().remainingMillis() <= 0) {
      return;
    }
    worker.setFencePending(true);
    long sentAtMillis = context.timer().monotonicMillis();
    context
        .gateway()
        .send(worker.spec(), new WorkerCommand.Fence(epoch))
        .thenAccept(reply -> shard.execute(() -> handleFenceReply(worker, reply, sentAtMillis)));
  }

  private void handleFenceReply(MonitoredWorker worker, WorkerReply reply, long sentAtMillis) {
    worker.setFencePending(false);
    String id = worker.spec().id();
    boolean current = !closed && workers.get(id) == worker && worker.isSuspended();
    if (current && reply instanceof WorkerReply.Done done) {
      worker.markFenced(sentAtMillis);
      planOutdated = true;
      inventoryHandler.handle(id, done.tasks(), sentAtMillis);
      usableListener.accept(id);
    }
  }

  private void checkLeaseExpiry(MonitoredWorker worker, long now) {
    List<HostSpec> region =
        context.store().read(CellState::hosts).stream()
            .filter(host -> host.zone().region().equals(worker.spec().zone().region()))
            .toList();
    if (expiryTracker.isPlanConfirmed(region, worker.suspendingPlan())) {
      worker.markPlanConfirmed(now);
    }
    for (LossPolicy loss : LossPolicy.values()) {
      if (worker.mayStillRun(loss) && expiryTracker.haveLeasesExpired(worker, loss, now)) {
        worker.markLeasesExpired(loss);
        expiryHandler.handle(worker.spec().id(), loss);
      }
    }
    boolean idleInState =
        context
            .store()
            .read(state -> state.worker(worker.spec().id()))
            .map(state -> state.running().isEmpty())
            .orElse(false);
    if (worker.haveAllLeasesExpired() && idleInState && !worker.isListed()) {
      String id = worker.spec().id();
      CellRecord lost =
          new CellRecord.WorkerChanged(id, WorkerStatus.LOST, "gone from the platform's list");
      context.writer().write(epoch, lost);
    }
  }

  private void fetchWorkerList() {
    context
        .gateway()
        .listWorkers()
        .thenAccept(list -> shard.execute(() -> list.ifPresent(this::handleWorkerList)));
  }

  private void handleWorkerList(List<WorkerSpec> list) {
    if (closed) {
      return;
    }
    Set<String> listed = new HashSet<>();
    for (WorkerSpec spec : list) {
      listed.add(spec.id());
      Optional<WorkerState> known = context.store().read(state -> state.worker(spec.id()));
      boolean same = known.isPresent() && known.get().spec().equals(spec);
      boolean lost = known.isPresent() && known.get().status() == WorkerStatus.LOST;
      if (lost && !joiningWorkers.contains(spec.id())) {
        fenceBeforeRejoin(spec);
      } else if (!same && joiningWorkers.add(spec.id())) {
        recordJoin(spec);
      }
    }
    workers.values().forEach(worker -> worker.setListed(listed.contains(worker.spec().id())));
  }

  private void recordJoin(WorkerSpec spec) {
    LOGGER.atInfo().log("scheduling: worker %s joins the cell.", spec.id());
    context
        .writer()
        .write(epoch, new CellRecord.WorkerJoined(spec))
        .thenAccept(result -> shard.execute(() -> joiningWorkers.remove(spec.id())));
  }

  /** Fences a lost worker; it joins again once it responds and runs no tasks. */
  private void fenceBeforeRejoin(WorkerSpec spec) {
    joiningWorkers.add(spec.id());
    context
        .gateway()
        .send(spec, new WorkerCommand.Fence(epoch))
        .thenAccept(reply -> shard.execute(() -> handleRejoinFenceReply(spec, reply)));
  }

  private void handleRejoinFenceReply(WorkerSpec spec, WorkerReply reply) {
    if (!(reply instanceof WorkerReply.Done done) || closed) {
      joiningWorkers.remove(spec.id());
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
      recordJoin(spec);
    } else {
      joiningWorkers.remove(spec.id());
    }
  }

  /** Removes hosts unresponsive for long from the membership if enough remain in their region. */
  private void removeUnresponsiveHosts(long now) {
    List<HostSpec> hosts = context.store().read(CellState::hosts);
    for (HostSpec host : hosts) {
      long lastHeardMillis = context.peers().lastHeartbeatMillis(host.id()).orElse(startedAtMillis);
      boolean unresponsive =
          !host.id().equals(context.selfId())
              && now - Math.max(lastHeardMillis, startedAtMillis)
                  > context.timings().hostRemoval().toMillis();
      if (unresponsive && isSafeToRemove(host, hosts) && removingHosts.add(host.id())) {
        context
            .writer()
            .write(epoch, new CellRecord.HostLeft(host.id(), "silent"))
            .thenAccept(result -> shard.execute(() -> removingHosts.remove(host.id())));
      }
    }
  }

  private boolean isSafeToRemove(HostSpec host, List<HostSpec> hosts) {
    List<HostSpec> region =
        hosts.stream().filter(other -> other.zone().region().equals(host.zone().region())).toList();
    return region.size() > 2
        && expiryTracker.isPlanConfirmed(
            region, new PlanStamp(epoch, Math.max(1, planVersion - 1)));
  }

  private void writeKeepalive() {
    boolean allReachable =
        context.store().read(CellState::hosts).stream()
            .allMatch(host -> context.membership().isReachable(host.id()));
    if (!allReachable && maintenanceRounds % KEEPALIVE_ROUNDS == 0) {
      context.writer().write(epoch, new CellRecord.StateDigest(-1, 0));
    }
  }
}
