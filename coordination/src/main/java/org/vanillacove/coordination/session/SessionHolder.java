package org.vanillacove.coordination.session;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.membership.HostLeaseKeeper;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.RecordListener;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.WorkerState;

/**
 * Holds the sessions of the workers that the plan assigns to this host: renews their leases,
 * compares their running tasks with the cell state and reports the differences to the leader.
 */
public final class SessionHolder implements RecordListener {
  /** Timer ticks per report that isn't urgent. */
  private static final int REPORT_TICKS = 2;

  /** Renewals between two reads of a worker's full inventory. */
  private static final int INVENTORY_RENEWALS = 12;

  /** Identifier, peer address and availability zone of this host. */
  private final HostSpec self;

  /** Sends commands to workers. */
  private final WorkerGateway gateway;

  /** Sends messages to the other hosts and receives theirs. */
  private final PeerLink link;

  /** Clocks and periodic timers. */
  private final TimerService timer;

  /** Intervals and timeouts of the cell. */
  private final CellTimings timings;

  /** Cell state, with the records of the log applied. */
  private final CellStore store;

  /** Newest session plan that this host knows. */
  private final PlanStore plans;

  /** Lease of this host, without which it renews no worker's leases. */
  private final HostLeaseKeeper hostLease;

  /** Handles reports while this host is the leader. */
  private final ReportHandler leaderHandler;

  /** Runs ticks and replies one at a time; guards the fields below. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Sessions that this host holds, by worker identifier. */
  private final Map<String, Session> sessions = new TreeMap<>();

  /** Differences to be reported to the leader. */
  private final SessionReports reports;

  /** Periodic tick, empty before {@link #start}. */
  private Optional<TimerService.Subscription> subscription = Optional.empty();

  /** Plan from which the sessions were derived. */
  private SessionPlan assignedPlan = SessionPlan.NONE;

  /** Whether workers or hosts changed since the sessions were derived. */
  private boolean outdated = true;

  /** Timer ticks since the start. */
  private long ticks;

  /** Creates a holder; it does nothing before {@link #start}. */
  public SessionHolder(
      HostSpec self,
      WorkerGateway gateway,
      PeerLink link,
      TimerService timer,
      CellTimings timings,
      CellStore store,
      PlanStore plans,
      HostLeaseKeeper hostLease,
      ReportHandler leaderHandler) {
    this.self = self;
    this.gateway = gateway;
    this.link = link;
    this.timer = timer;
    this.timings = timings;
    this.store = store;
    this.plans = plans;
    this.hostLease = hostLease;
    this.leaderHandler = leaderHandler;
    this.reports = new SessionReports(store, timings.hostRemoval().toMillis());
  }

  /** Handles the reports of session holders on the leader. */
  @FunctionalInterface
  public interface ReportHandler {
    /** Handles a report, from this host or from another. */
    void handle(SessionReportMessage report);
  }

  /** Starts to renew leases, one tick per heartbeat interval. */
  public void start() {
    subscription = Optional.of(timer.every(timings.heartbeat(), () -> shard.execute(this::tick)));
  }

  /** Stops the renewals; the workers' leases run out. */
  public void close() {
    subscription.ifPresent(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Returns the identifiers of the workers whose sessions this host holds. */
  public Set<String> heldWorkers() {
    return shard.read(() -> Set.copyOf(sessions.keySet()));
  }

  @Override
  public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {
    boolean affectsSessions =
        switch (envelope.record()) {
          case CellRecord.WorkerJoined joined -> true;
          case CellRecord.WorkerChanged changed -> true;
          case CellRecord.HostJoined joined -> true;
          case CellRecord.HostLeft left -> true;
          case CellRecord.DomainDeclaredLost lost -> true;
          default -> false;
        };
    if (affectsSessions) {
      shard.execute(() -> outdated = true);
    }
  }

  @Override
  public void stateReplaced() {
    shard.execute(() -> outdated = true);
  }

  private void tick() {
    ticks++;
    SessionPlan plan = plans.plan();
    if (outdated || !plan.stamp().equals(assignedPlan.stamp())) {
      assignSessions(plan);
    }
    long now = timer.monotonicMillis();
    for (Session session : sessions.values()) {
      if (now >= session.nextRenewalMillis) {
        renewOrReadInventory(session, now);
      }
    }
    if (ticks % REPORT_TICKS == 0 || reports.isUrgent()) {
      reports.takeReport(assignedPlan.stamp().epoch(), now).ifPresent(this::sendReport);
    }
  }

  private void assignSessions(SessionPlan plan) {
    outdated = false;
    assignedPlan = plan;
    List<HostSpec> hosts = store.read(CellState::hosts);
    Map<String, WorkerSpec> assigned = new TreeMap<>();
    for (WorkerSpec worker : store.read(SessionHolder::presentWorkers)) {
      boolean held = plan.holderOf(worker, hosts).filter(self.id()::equals).isPresent();
      if (held && !plan.suspended().contains(worker.id())) {
        assigned.put(worker.id(), worker);
      }
    }
    sessions.keySet().retainAll(assigned.keySet());
    long now = timer.monotonicMillis();
    assigned.forEach(
        (id, worker) -> {
          Session session = sessions.computeIfAbsent(id, key -> new Session(worker, now));
          session.spec = worker;
        });
  }

  private static List<WorkerSpec> presentWorkers(CellState state) {
    return state.workers().stream()
        .filter(worker -> worker.status() != WorkerStatus.LOST)
        .map(WorkerState::spec)
        .toList();
  }

  /**
   * Renews the leases of a worker, or reads its inventory first if that is due. With a host lease
   * granted only by the region, leases are renewed only on workers of that region, and only for
   * tasks with {@code LossPolicy.KEEP}.
   */
  private void renewOrReadInventory(Session session, long now) {
    boolean sameRegion = session.spec.zone().region().equals(self.zone().region());
    boolean fromLeader = hostLease.hasLeaseFromLeader();
    if (!fromLeader && !(sameRegion && hostLease.hasLeaseFromRegion())) {
      return;
    }
    session.nextRenewalMillis = now + timings.renewal().toMillis();
    if (session.renewalsUntilInventory > 0) {
      renew(session, !fromLeader);
    } else {
      readInventory(session);
    }
  }

  private void renew(Session session, boolean keepOnly) {
    session.renewalsUntilInventory--;
    WorkerCommand.Renew command =
        new WorkerCommand.Renew(assignedPlan.stamp().epoch(), timings.lease().toMillis(), keepOnly);
    gateway
        .send(session.spec, command)
        .thenAccept(reply -> shard.execute(() -> handleRenewReply(session, reply)));
  }

  private void handleRenewReply(Session session, WorkerReply reply) {
    switch (reply) {
      case WorkerReply.Done done -> {
        session.consecutiveFailures = 0;
        reports.addAttempts(session.spec.id(), done.tasks(), timer.monotonicMillis());
      }
      case WorkerReply.Refused refused -> {
        session.renewalsUntilInventory = 0;
        session.nextRenewalMillis = timer.monotonicMillis();
      }
      case WorkerReply.Stale stale -> hostLease.requestSoon();
      case WorkerReply.Unknown unknown -> handleNoReply(session);
    }
  }

  private void readInventory(Session session) {
    long leaderClock = plans.leaderClockMillis();
    gateway
        .send(session.spec, new WorkerCommand.Fence(assignedPlan.stamp().epoch()))
        .thenAccept(
            reply -> shard.execute(() -> handleInventoryReply(session, reply, leaderClock)));
  }

  private void handleInventoryReply(Session session, WorkerReply reply, long leaderClock) {
    switch (reply) {
      case WorkerReply.Done done -> {
        long now = timer.monotonicMillis();
        session.consecutiveFailures = 0;
        session.renewalsUntilInventory = INVENTORY_RENEWALS;
        reports.addInventory(session.spec.id(), done.tasks(), leaderClock, now);
        if (sessions.get(session.spec.id()) == session) {
          renewOrReadInventory(session, now);
        }
      }
      case WorkerReply.Stale stale -> hostLease.requestSoon();
      case WorkerReply.Refused refused -> handleNoReply(session);
      case WorkerReply.Unknown unknown -> handleNoReply(session);
    }
  }

  /** Counts a missing reply; the next inventory read returns the attempts it would have listed. */
  private void handleNoReply(Session session) {
    session.consecutiveFailures++;
    session.renewalsUntilInventory = 0;
    session.nextRenewalMillis = timer.monotonicMillis() + timings.maintenance().toMillis();
    if (session.consecutiveFailures > 1) {
      reports.addUnreachable(session.spec.id());
    }
  }

  private void sendReport(SessionReportMessage report) {
    Optional<String> leader = store.read(CellState::leader);
    if (leader.isPresent() && leader.get().equals(self.id())) {
      leaderHandler.handle(report);
    } else if (leader.isPresent()) {
      link.send(leader.get(), PeerChannel.SESSION, report.toByteString());
    }
  }

  /** Registers a handler on the link for the reports of other hosts. */
  public void registerLeaderHandler() {
    link.register(
        PeerChannel.SESSION,
        (from, payload) -> {
          parse(payload).ifPresent(leaderHandler::handle);
          return CompletableFuture.completedFuture(Optional.empty());
        });
  }

  private static Optional<SessionReportMessage> parse(ByteString payload) {
    try {
      return Optional.of(SessionReportMessage.parseFrom(payload));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** State of the session with one worker. */
  private static final class Session {
    /** Newest specification of the worker. */
    private WorkerSpec spec;

    /** Monotonic time of the next renewal or inventory read, in milliseconds. */
    private long nextRenewalMillis;

    /** Commands without a usable reply since the last one that succeeded. */
    private int consecutiveFailures;

    /** Renewals until the next full inventory read; zero if one is due. */
    private int renewalsUntilInventory;

    Session(WorkerSpec spec, long nextRenewalMillis) {
      this.spec = spec;
      this.nextRenewalMillis = nextRenewalMillis;
    }
  }
}
