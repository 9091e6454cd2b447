package org.vanillacove.coordination.session;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
import org.vanillacove.protocol.generated.AttemptMessage;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.FoldOutcome;
import org.vanillacove.state.cell.TaskState;
import org.vanillacove.state.cell.WorkerState;

/**
 * Holds the sessions of the workers that the plan gives to this host: renews their leases, compares
 * what they run with the folded state and reports the differences to the leader.
 */
public final class SessionHolder implements FoldListener {
  /** Usage entries of one report. */
  private static final int MAX_USAGE = 32;

  /** Ticks between two sendings of a report that the state does not show yet. */
  private static final int RESEND_TICKS = 4;

  /** Change of use worth a report, as a part of what was reported last. */
  private static final double USAGE_CHANGE = 0.1;

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

  /** Ended attempts that the state does not show yet, by attempt. */
  private final Map<Attempt, Ended> ended = new LinkedHashMap<>();

  /** Differences found since the last report. */
  private SessionReportMessage.Builder differences = SessionReportMessage.newBuilder();

  /** Usage reported last, by task. */
  private final Map<TaskId, Resources> usage = new HashMap<>();

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
        renew(session, now);
      }
    }
    report();
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

  private void renew(Session session, long now) {
    boolean near = session.spec.zone().region().equals(self.zone().region());
    boolean all = standing.hasLeaderWord();
    if (!all && !(near && standing.hasRegionWord())) {
      return;
    }
    session.nextAtMillis = now + timings.renewal().toMillis();
    long token = plans.leaderClockMillis();
    WorkerCommand.Renew command =
        new WorkerCommand.Renew(derivedPlan.stamp().epoch(), timings.lease().toMillis(), !all);
    gateway
        .send(session.spec, command)
        .thenAccept(reply -> shard.execute(() -> handle(session, reply, token)));
  }

  private void handle(Session session, WorkerReply reply, long token) {
    switch (reply) {
      case WorkerReply.Done done -> {
        session.failures = 0;
        compare(session.spec.id(), done.tasks(), token);
      }
      case WorkerReply.Unknown unknown -> {
        session.failures++;
        session.nextAtMillis = timer.monotonicMillis() + timings.upkeep().toMillis();
        if (session.failures > 1) {
          differences.addUnreachableWorkers(session.spec.id());
        }
      }
      case WorkerReply.Stale stale -> standing.askSoon();
      case WorkerReply.Refused refused -> {}
    }
  }

  private void compare(String workerId, List<TaskReport> reports, long token) {
    Map<TaskId, Integer> expected = store.read(state -> expected(state, workerId));
    Set<TaskId> seen = new HashSet<>();
    for (TaskReport report : reports) {
      AttemptMessage message = message(workerId, report);
      Integer attempt = expected.get(report.task());
      boolean known = attempt != null && attempt == report.attempt();
      if (known) {
        seen.add(report.task());
      }
      if (report.ended().isPresent()) {
        ended.putIfAbsent(
            new Attempt(workerId, report.task(), report.attempt()),
            new Ended(message, ticks, timer.monotonicMillis()));
        usage.remove(report.task());
      } else if (known) {
        noteUsage(report, message);
      } else {
        differences.addExtra(message);
      }
    }
    expected.forEach(
        (task, attempt) -> {
          if (!seen.contains(task) && !ended.containsKey(new Attempt(workerId, task, attempt))) {
            differences.addMissing(
                AttemptMessage.newBuilder()
                    .setWorkerId(workerId)
                    .setJobId(task.jobId())
                    .setIndex(task.index())
                    .setAttempt(attempt));
          }
        });
    long oldest =
        differences.getLeaderClockMillis() == 0
            ? token
            : Math.min(token, differences.getLeaderClockMillis());
    differences.setLeaderClockMillis(oldest);
  }

  private static Map<TaskId, Integer> expected(CellState state, String workerId) {
    Map<TaskId, Integer> expected = new LinkedHashMap<>();
    state
        .worker(workerId)
        .ifPresent(
            worker -> {
              for (TaskId task : worker.running()) {
                expected.put(task, state.task(task).map(TaskState::attempt).orElse(0));
              }
            });
    return expected;
  }

  private void noteUsage(TaskReport report, AttemptMessage message) {
    Resources last = usage.getOrDefault(report.task(), Resources.NONE);
    if (differences.getUsageCount() < MAX_USAGE && isWorthReport(last, report.used())) {
      usage.put(report.task(), report.used());
      differences.addUsage(message);
    }
  }

  private static boolean isWorthReport(Resources last, Resources used) {
    return Math.abs(used.cpuMillis() - last.cpuMillis()) > USAGE_CHANGE * last.cpuMillis()
        || Math.abs(used.memoryMib() - last.memoryMib()) > USAGE_CHANGE * last.memoryMib();
  }

  private void report() {
    ended.values().removeIf(entry -> store.read(state -> isShown(state, entry)));
    List<AttemptMessage> due = new ArrayList<>();
    for (Ended entry : ended.values()) {
      if ((ticks - entry.tick) % RESEND_TICKS == 0) {
        due.add(entry.message);
      }
    }
    SessionReportMessage report =
        differences.setEpoch(derivedPlan.stamp().epoch()).addAllEnded(due).build();
    differences = SessionReportMessage.newBuilder();
    boolean empty =
        report.getEndedCount()
                + report.getMissingCount()
                + report.getExtraCount()
                + report.getUnreachableWorkersCount()
                + report.getUsageCount()
            == 0;
    if (!empty) {
      deliver(report);
    }
  }

  private boolean isShown(CellState state, Ended entry) {
    AttemptMessage message = entry.message;
    Optional<TaskState> task = state.task(new TaskId(message.getJobId(), message.getIndex()));
    boolean old = timer.monotonicMillis() - entry.atMillis > timings.hostRemoval().toMillis();
    return task.isEmpty()
        || task.get().attempt() > message.getAttempt()
        || (task.get().attempt() == message.getAttempt()
            && !task.get().workerId().equals(Optional.of(message.getWorkerId())))
        || (task.get().attempt() < message.getAttempt() && old);
  }

  private void deliver(SessionReportMessage report) {
    Optional<String> leader = store.read(CellState::leader);
    if (leader.isPresent() && leader.get().equals(self.id())) {
      leaderHandler.handle(report);
    } else if (leader.isPresent()) {
      link.send(leader.get(), PeerChannel.SESSION, report.toByteString());
    }
  }

  private static AttemptMessage message(String workerId, TaskReport report) {
    int outcome = report.ended().map(SessionHolder::number).orElse(0);
    return AttemptMessage.newBuilder()
        .setWorkerId(workerId)
        .setJobId(report.task().jobId())
        .setIndex(report.task().index())
        .setAttempt(report.attempt())
        .setOutcome(outcome)
        .setCpuMillis(report.used().cpuMillis())
        .setMemoryMib(report.used().memoryMib())
        .setAccelerators(report.used().accelerators())
        .build();
  }

  @SuppressWarnings("EnumOrdinal")
  private static int number(TaskOutcome outcome) {
    return outcome.ordinal() + 1;
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

  /**
   * An attempt of a task; two leaders may give one number to attempts on two workers.
   *
   * @param workerId worker of the attempt
   * @param task the task
   * @param number number of the attempt
   */
  private record Attempt(String workerId, TaskId task, int number) {}

  /**
   * An ended attempt to be reported.
   *
   * @param message the report
   * @param tick tick at which it was first reported
   * @param atMillis monotonic time at which it came, in milliseconds
   */
  private record Ended(AttemptMessage message, long tick, long atMillis) {}

  /** The session of one worker. */
  private static final class Session {
    /** The worker. */
    private WorkerSpec spec;

    /** Monotonic time of the next renewal in milliseconds. */
    private long nextAtMillis;

    /** Renewals without an answer since the last answer. */
    private int failures;

    Session(WorkerSpec spec, long nextAtMillis) {
      this.spec = spec;
      this.nextAtMillis = nextAtMillis;
    }
  }
}
