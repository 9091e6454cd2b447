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
import org.vanillacove.coordination.membership.StandingKeeper;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.coordination.stream.FoldListener;
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
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.FoldOutcome;
import org.vanillacove.state.cell.WorkerState;

/**
 * Holds the sessions of the workers that the plan gives to this host: renews their leases, compares
 * what they run with the folded state and reports the differences to the leader.
 */
public final class SessionHolder implements FoldListener {
  /** Ticks between two reports that are not urgent. */
  private static final int REPORT_TICKS = 2;

  /** Renewals between two readings of a worker's whole inventory. */
  private static final int INVENTORY_RENEWALS = 12;

  /** This host. */
  private final HostSpec self;

  /** Sends commands to workers. */
  private final WorkerGateway gateway;

  /** Messages between hosts. */
  private final PeerLink link;

  /** Source of time. */
  private final TimerService timer;

  /** Times that are kept. */
  private final CellTimings timings;

  /** The folded state. */
  private final CellStore store;

  /** The newest plan. */
  private final PlanStore plans;

  /** Standing of this host. */
  private final StandingKeeper standing;

  /** Takes reports if this host leads. */
  private final ReportHandler leaderHandler;

  /** Serialises the state below. */
  private final EventShard shard = new EventShard();

  /** Sessions held, by worker. */
  private final Map<String, Session> sessions = new TreeMap<>();

  /** What is to be reported to the leader. */
  private final SessionReports reports;

  /** The timer of the sessions. */
  private Optional<TimerService.Subscription> subscription = Optional.empty();

  /** Plan for which the sessions were derived. */
  private SessionPlan derivedPlan = SessionPlan.NONE;

  /** Whether workers or hosts changed since the sessions were derived. */
  private boolean outdated = true;

  /** Ticks so far. */
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
      StandingKeeper standing,
      ReportHandler leaderHandler) {
    this.self = self;
    this.gateway = gateway;
    this.link = link;
    this.timer = timer;
    this.timings = timings;
    this.store = store;
    this.plans = plans;
    this.standing = standing;
    this.leaderHandler = leaderHandler;
    this.reports = new SessionReports(store, timings.hostRemoval().toMillis());
  }

  /** Takes reports of session holders. */
  @FunctionalInterface
  public interface ReportHandler {
    /** Handles a report. */
    void handle(SessionReportMessage report);
  }

  /** Starts to hold sessions. */
  public void start() {
    subscription = Optional.of(timer.every(timings.heartbeat(), () -> shard.execute(this::tick)));
  }

  /** Stops to renew leases. */
  public void close() {
    subscription.ifPresent(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Returns the workers whose sessions this host holds. */
  public Set<String> heldWorkers() {
    return shard.read(() -> Set.copyOf(sessions.keySet()));
  }

  @Override
  public void folded(long offset, RecordEnvelope envelope, FoldOutcome outcome) {
    boolean matters =
        switch (envelope.record()) {
          case CellRecord.WorkerJoined joined -> true;
          case CellRecord.WorkerChanged changed -> true;
          case CellRecord.HostJoined joined -> true;
          case CellRecord.HostLeft left -> true;
          case CellRecord.DomainDeclaredLost lost -> true;
          default -> false;
        };
    if (matters) {
      shard.execute(() -> outdated = true);
    }
  }

  @Override
  public void reloaded() {
    shard.execute(() -> outdated = true);
  }

  private void tick() {
    ticks++;
    SessionPlan plan = plans.plan();
    if (outdated || !plan.stamp().equals(derivedPlan.stamp())) {
      derive(plan);
    }
    long now = timer.monotonicMillis();
    for (Session session : sessions.values()) {
      if (now >= session.nextAtMillis) {
        ask(session, now);
      }
    }
    if (ticks % REPORT_TICKS == 0 || reports.isUrgent()) {
      reports.next(derivedPlan.stamp().epoch(), now).ifPresent(this::deliver);
    }
  }

  private void derive(SessionPlan plan) {
    outdated = false;
    derivedPlan = plan;
    List<HostSpec> hosts = store.read(CellState::hosts);
    Map<String, WorkerSpec> mine = new TreeMap<>();
    for (WorkerSpec worker : store.read(SessionHolder::presentWorkers)) {
      boolean held = plan.holderOf(worker, hosts).filter(self.id()::equals).isPresent();
      if (held && !plan.suspended().contains(worker.id())) {
        mine.put(worker.id(), worker);
      }
    }
    sessions.keySet().retainAll(mine.keySet());
    long now = timer.monotonicMillis();
    mine.forEach(
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

  /** Renews the leases of a worker; reads its inventory first if it may not be known. */
  private void ask(Session session, long now) {
    boolean near = session.spec.zone().region().equals(self.zone().region());
    boolean all = standing.hasLeaderWord();
    if (!all && !(near && standing.hasRegionWord())) {
      return;
    }
    session.nextAtMillis = now + timings.renewal().toMillis();
    if (session.renewalsLeft > 0) {
      renew(session, !all);
    } else {
      readInventory(session);
    }
  }

  private void renew(Session session, boolean keepOnly) {
    session.renewalsLeft--;
    WorkerCommand.Renew command =
        new WorkerCommand.Renew(derivedPlan.stamp().epoch(), timings.lease().toMillis(), keepOnly);
    gateway
        .send(session.spec, command)
        .thenAccept(reply -> shard.execute(() -> renewed(session, reply)));
  }

  private void renewed(Session session, WorkerReply reply) {
    switch (reply) {
      case WorkerReply.Done done -> {
        session.failures = 0;
        reports.addAttempts(session.spec.id(), done.tasks(), timer.monotonicMillis());
      }
      case WorkerReply.Refused refused -> {
        session.renewalsLeft = 0;
        session.nextAtMillis = timer.monotonicMillis();
      }
      case WorkerReply.Stale stale -> standing.askSoon();
      case WorkerReply.Unknown unknown -> unanswered(session);
    }
  }

  private void readInventory(Session session) {
    long token = plans.leaderClockMillis();
    gateway
        .send(session.spec, new WorkerCommand.Fence(derivedPlan.stamp().epoch()))
        .thenAccept(reply -> shard.execute(() -> inventoryRead(session, reply, token)));
  }

  private void inventoryRead(Session session, WorkerReply reply, long token) {
    switch (reply) {
      case WorkerReply.Done done -> {
        long now = timer.monotonicMillis();
        session.failures = 0;
        session.renewalsLeft = INVENTORY_RENEWALS;
        reports.addInventory(session.spec.id(), done.tasks(), token, now);
        if (sessions.get(session.spec.id()) == session) {
          ask(session, now);
        }
      }
      case WorkerReply.Stale stale -> standing.askSoon();
      case WorkerReply.Refused refused -> unanswered(session);
      case WorkerReply.Unknown unknown -> unanswered(session);
    }
  }

  /** Takes note that no reply came; what it would have shown is read with the inventory. */
  private void unanswered(Session session) {
    session.failures++;
    session.renewalsLeft = 0;
    session.nextAtMillis = timer.monotonicMillis() + timings.upkeep().toMillis();
    if (session.failures > 1) {
      reports.addUnreachable(session.spec.id());
    }
  }

  private void deliver(SessionReportMessage report) {
    Optional<String> leader = store.read(CellState::leader);
    if (leader.isPresent() && leader.get().equals(self.id())) {
      leaderHandler.handle(report);
    } else if (leader.isPresent()) {
      link.send(leader.get(), PeerChannel.SESSION, report.toByteString());
    }
  }

  /** Registers the handler of reports at the link. */
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

  /** The session of one worker. */
  private static final class Session {
    /** The worker. */
    private WorkerSpec spec;

    /** Monotonic time of the next renewal in milliseconds. */
    private long nextAtMillis;

    /** Commands without an answer since the last answer. */
    private int failures;

    /** Renewals until the whole inventory is read, zero if it may not be known. */
    private int renewalsLeft;

    Session(WorkerSpec spec, long nextAtMillis) {
      this.spec = spec;
      this.nextAtMillis = nextAtMillis;
    }
  }
}
