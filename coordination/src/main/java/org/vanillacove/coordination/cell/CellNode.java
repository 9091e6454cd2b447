package org.vanillacove.coordination.cell;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vanillacove.coordination.api.CellControl;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.coordination.leadership.Leadership;
import org.vanillacove.coordination.membership.HostLeaseKeeper;
import org.vanillacove.coordination.membership.MembershipService;
import org.vanillacove.coordination.membership.PeerTable;
import org.vanillacove.coordination.scheduling.LeaderContext;
import org.vanillacove.coordination.scheduling.LeaderScheduler;
import org.vanillacove.coordination.scheduling.SafetyRules;
import org.vanillacove.coordination.session.PlanStore;
import org.vanillacove.coordination.session.SessionHolder;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.RecordListener;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.coordination.stream.StreamWriter;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.HostList;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellState;

/** Node of one entry host in the cell; assembles its services and delegates to them. */
public final class CellNode implements CellView, CellControl, Membership, AutoCloseable {
  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Maximum time that leaving waits for another leader, in milliseconds. */
  private static final long MAX_HANDOVER_MILLIS = 5_000;

  /** Maximum time that leaving waits for its record. */
  private static final Duration LEAVE_DEADLINE = Duration.ofSeconds(5);

  /** Specification of this host. */
  private final HostSpec self;

  /** Clock and timers. */
  private final TimerService timer;

  /** Configured intervals and timeouts. */
  private final CellTimings timings;

  /** Cell state built from the records of the log. */
  private final CellStore store = new CellStore();

  /** Newest session plan. */
  private final PlanStore plans = new PlanStore(store);

  /** Follows the log and applies its records. */
  private final StreamReader reader;

  /** Appends records to the log. */
  private final StreamWriter writer;

  /** Heartbeats and agreed membership. */
  private final MembershipService membership;

  /** Keeps the host lease of this host. */
  private final HostLeaseKeeper hostLease;

  /** Claims leadership and steps down. */
  private final Leadership leadership;

  /** Schedules tasks while this host leads. */
  private final LeaderScheduler scheduler;

  /** Holds the sessions of workers assigned to this host. */
  private final SessionHolder sessions;

  /** Notifies subscribers of configurations that come into force. */
  private final ConfigurationFeed configuration;

  /** Answers queries from the cell state. */
  private final CellView view;

  /** Appends requested changes to the log. */
  private final CellControl control;

  /** Creates a node that does nothing before {@link #start}. */
  public CellNode(
      HostSpec self,
      List<HostSpec> seeds,
      PlatformLog log,
      WorkerGateway gateway,
      HostList hostList,
      PeerLink link,
      TimerService timer,
      TimelineRecorder timeline,
      Supplier<Placer> placers,
      CellTimings timings) {
    this(
        self,
        seeds,
        log,
        gateway,
        hostList,
        link,
        timer,
        timeline,
        placers,
        timings,
        SafetyRules.ALL);
  }

  /** Creates a node with given safety rules; tests and benchmarks disable single rules. */
  public CellNode(
      HostSpec self,
      List<HostSpec> seeds,
      PlatformLog log,
      WorkerGateway gateway,
      HostList hostList,
      PeerLink link,
      TimerService timer,
      TimelineRecorder timeline,
      Supplier<Placer> placers,
      CellTimings timings,
      SafetyRules rules) {
    this.self = self;
    this.timer = timer;
    this.timings = timings;
    String incarnation =
        Long.toString(timer.wallMillis(), Character.MAX_RADIX)
            + Long.toString(System.nanoTime() & 0xfffff, Character.MAX_RADIX);
    PeerTable peers = new PeerTable();
    reader = new StreamReader(self.id(), log, store, timer, timings);
    writer = new StreamWriter(log, reader, store, timer, timings, self.id(), incarnation);
    reader.onObjection(digest -> writer.write(0, digest));
    membership =
        new MembershipService(
            self, seeds, link, hostList, timer, timings, reader, writer, store, plans, peers);
    hostLease = new HostLeaseKeeper(self, link, timer, timings, store, reader, plans);
    LeaderContext context =
        new LeaderContext(
            self.id(),
            store,
            reader,
            writer,
            gateway,
            membership,
            peers,
            plans,
            hostLease,
            timer,
            timings,
            timeline,
            placers,
            rules);
    scheduler = new LeaderScheduler(context);
    leadership =
        new Leadership(
            self, store, reader, writer, membership, peers, timer, timings, timeline, scheduler);
    sessions =
        new SessionHolder(self, gateway, link, timer, timings, store, plans, hostLease, scheduler);
    configuration = new ConfigurationFeed(store);
    AdmissionCheck admission = new AdmissionCheck(store, placers);
    view = new CellStateView(store, reader, membership, scheduler, configuration);
    control = new CellController(writer, admission, timer);
    List.of(
            configuration,
            admission,
            leadership,
            scheduler,
            sessions,
            writer,
            leadershipClaimListener())
        .forEach(store::addListener);
  }

  /** Starts all services of the node. */
  public void start() {
    reader.start();
    sessions.registerLeaderHandler();
    membership.start(hostLease::vote);
    hostLease.start();
    leadership.start();
    scheduler.start();
    sessions.start();
  }

  /**
   * Hands over leadership and sessions, leaves the agreed membership and stops. The future
   * completes when all is done, or when the log did not accept the record in time.
   */
  public CompletableFuture<Void> leave() {
    CompletableFuture<Void> left = new CompletableFuture<>();
    awaitHandover(timer.monotonicMillis() + MAX_HANDOVER_MILLIS, left);
    return left;
  }

  /** Stops at once without handing over, like a killed process. */
  @Override
  public void close() {
    sessions.close();
    scheduler.close();
    leadership.close();
    hostLease.close();
    membership.close();
    writer.close();
    reader.close();
  }

  /**
   * Notifies {@code subscriber} of each configuration that comes into force and of the current one.
   */
  public void onConfiguration(Consumer<ConfigurationVersion> subscriber) {
    configuration.subscribe(subscriber);
  }

  /** Sets the placement settings, for instance from a configuration. */
  public void configurePlacement(PlacementSettings settings) {
    scheduler.configure(settings);
  }

  /** Returns the workers whose sessions this host holds. */
  public Set<String> heldWorkers() {
    return sessions.heldWorkers();
  }

  /** Returns whether this host has applied the log to its end within one host lease duration. */
  public boolean isCaughtUp() {
    long age = timer.monotonicMillis() - reader.freshAsOfMillis();
    return age <= timings.hostLease().toMillis();
  }

  @Override
  public List<JobView> jobs() {
    return view.jobs();
  }

  @Override
  public Optional<JobView> job(String jobId) {
    return view.job(jobId);
  }

  @Override
  public List<WorkerView> workers() {
    return view.workers();
  }

  @Override
  public CellStatus status() {
    return view.status();
  }

  @Override
  public long configurationVersion() {
    return view.configurationVersion();
  }

  @Override
  public List<ConfigurationVersion> configurationHistory() {
    return view.configurationHistory();
  }

  @Override
  public void visitConfigurations(Consumer<ConfigurationVersion> visitor) {
    view.visitConfigurations(visitor);
  }

  @Override
  public Optional<ConfigurationVersion> configuration(long version) {
    return view.configuration(version);
  }

  @Override
  public Map<String, Long> versionsInForce() {
    return view.versionsInForce();
  }

  @Override
  public CompletableFuture<ProposalOutcome> submitJob(
      String jobId, JobSpec spec, Duration deadline) {
    return control.submitJob(jobId, spec, deadline);
  }

  @Override
  public CompletableFuture<ProposalOutcome> cancelJob(
      String jobId, String reason, Duration deadline) {
    return control.cancelJob(jobId, reason, deadline);
  }

  @Override
  public CompletableFuture<ProposalOutcome> putConfiguration(
      long basedOn, String document, String author, String reason, Duration deadline) {
    return control.putConfiguration(basedOn, document, author, reason, deadline);
  }

  @Override
  public CompletableFuture<ProposalOutcome> changeWorker(
      String workerId, WorkerStatus status, String reason, Duration deadline) {
    return control.changeWorker(workerId, status, reason, deadline);
  }

  @Override
  public CompletableFuture<ProposalOutcome> declareLost(
      String region, Optional<String> zone, String reason, Duration deadline) {
    return control.declareLost(region, zone, reason, deadline);
  }

  @Override
  public HostSpec self() {
    return self;
  }

  @Override
  public List<HostSpec> agreedHosts() {
    return store.read(CellState::hosts);
  }

  @Override
  public boolean isReachable(String hostId) {
    return membership.isReachable(hostId);
  }

  @Override
  public boolean hasHostLease() {
    return hostLease.hasHostLease();
  }

  @Override
  public long epoch() {
    return store.epoch();
  }

  @Override
  public boolean isLeader() {
    return leadership.leadingEpoch() != 0 && hostLease.remainingMillis() > 0;
  }

  @Override
  public void onChange(Runnable listener) {
    membership.onChange(listener);
  }

  private RecordListener leadershipClaimListener() {
    return new RecordListener() {
      @Override
      public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {
        boolean claim = envelope.record() instanceof CellRecord.LeaderClaimed;
        if (claim && outcome instanceof ApplyOutcome.Applied) {
          hostLease.requestSoon();
        }
      }

      @Override
      public void stateReplaced() {
        hostLease.requestSoon();
      }
    };
  }

  /** Waits until no start is in progress and another host leads, then leaves. */
  private void awaitHandover(long deadlineMillis, CompletableFuture<Void> left) {
    boolean deadlinePassed = timer.monotonicMillis() >= deadlineMillis;
    boolean drained = scheduler.drain() || deadlinePassed;
    if (drained && !membership.isLeaving(self.id())) {
      membership.setLeaving();
    }
    Optional<String> leader = store.read(CellState::leader);
    boolean noSuccessor = agreedHosts().stream().noneMatch(this::canTakeOver);
    boolean handedOver = leader.isEmpty() || !leader.get().equals(self.id());
    if (drained && (handedOver || noSuccessor || deadlinePassed)) {
      recordLeaving(left);
    } else {
      timer.after(timings.heartbeat(), () -> awaitHandover(deadlineMillis, left));
    }
  }

  private boolean canTakeOver(HostSpec host) {
    return !host.id().equals(self.id())
        && membership.isReachable(host.id())
        && !membership.isLeaving(host.id());
  }

  private void recordLeaving(CompletableFuture<Void> left) {
    LOGGER.atInfo().log("cell: host %s is leaving the membership.", self.id());
    writer
        .write(0, new CellRecord.HostLeft(self.id(), "leaves"), Optional.of(LEAVE_DEADLINE))
        .thenAccept(
            result -> {
              LOGGER.atInfo().log("cell: host %s has left the membership: %s", self.id(), result);
              timer.after(
                  Duration.ZERO,
                  () -> {
                    close();
                    left.complete(null);
                  });
            });
  }
}
