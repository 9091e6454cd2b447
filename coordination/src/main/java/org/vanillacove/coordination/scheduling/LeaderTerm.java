package org.vanillacove.coordination.scheduling;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.coordination.stream.WriteResult;
import org.vanillacove.protocol.generated.AttemptMessage;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.JobState;

/**
 * One term of this host as leader: decides starts, commands workers and records what happens. All
 * methods run on the scheduler's shard.
 */
final class LeaderTerm {
  /** Starts commanded before their record is folded; no more are begun beyond. */
  static final int MAX_UNRECORDED = 256;

  /** Decisions taken at once. */
  private static final int DECISION_LIMIT = 64;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Parts that the work rests on. */
  private final LeaderContext context;

  /** Serialises the term. */
  private final EventShard shard;

  /** Epoch of the term. */
  private final long epoch;

  /** Offset of the claim. */
  private final long claimOffset;

  /** Decides where tasks run. */
  private final Placer placer;

  /** Tasks that run or are under way. */
  private final TaskLedger ledger;

  /** Contact with workers. */
  private final WorkerWatcher watcher;

  /** Records quarantines. */
  private final QuarantineRecorder quarantines;

  /** Placed tasks that an unknown worker could still run. */
  private final Set<TaskEntry> held = new HashSet<>();

  /** Offset through which the placer was built from the state. */
  private long builtThrough;

  /** Starts commanded whose record is not folded. */
  private int unrecorded;

  /** Whether no new starts are decided because the host is leaving. */
  private boolean draining;

  /** Whether the term has ended. */
  private boolean over;

  LeaderTerm(
      LeaderContext context,
      EventShard shard,
      long epoch,
      long claimOffset,
      PlacementSettings settings) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.claimOffset = claimOffset;
    this.placer = context.placers().get();
    this.ledger = new TaskLedger(context.store());
    this.placer.configure(settings);
    this.watcher =
        new WorkerWatcher(context, shard, epoch, this::reconcile, this::lapsed, this::applyStatus);
    this.quarantines = new QuarantineRecorder(context, shard, epoch, placer);
    context.store().read(this::build);
    watcher.start();
  }

  long epoch() {
    return epoch;
  }

  long builtThrough() {
    return builtThrough;
  }

  void configure(PlacementSettings settings) {
    placer.configure(settings);
  }

  Optional<WaitReason> explain(String jobId) {
    return placer.explain(jobId, now());
  }

  /** Ends the term; whatever is under way has no further effect. */
  void end() {
    over = true;
    watcher.close();
  }

  /** Decides no new starts; returns whether nothing is under way. */
  boolean drain() {
    draining = true;
    return unrecorded == 0
        && ledger.all().stream().noneMatch(e -> e.phase() == TaskEntry.Phase.STARTING);
  }

  /** Takes decisions of the placer. */
  void decide() {
    watcher.flushPlan();
    boolean able = !over && !draining && context.standing().remainingMillis() > 0;
    if (!able || unrecorded >= MAX_UNRECORDED) {
      return;
    }
    for (PlacementDecision decision : placer.decide(now(), DECISION_LIMIT)) {
      switch (decision) {
        case PlacementDecision.Start start -> place(start.task(), start.workerId());
        case PlacementDecision.Preempt preempt ->
            ledger
                .find(preempt.task())
                .filter(entry -> entry.phase() == TaskEntry.Phase.RUNNING)
                .ifPresent(entry -> stop(entry, TaskOutcome.PREEMPTED, preempt.checkpoint()));
      }
    }
  }

  /** Does slower checks: lapses, held tasks, stops without an answer. */
  void maintain() {
    watcher.maintain();
    quarantines.tick();
    for (TaskEntry entry : new ArrayList<>(held)) {
      resume(entry);
    }
    for (TaskEntry entry : ledger.all()) {
      if (entry.phase() == TaskEntry.Phase.RUNNING && entry.stopOutcome().isPresent()) {
        sendStop(entry.workerId(), entry.id(), entry.attempt(), entry.isCheckpoint());
      }
    }
  }

  /** Takes note of a folded record that counted. */
  void folded(CellRecord record) {
    switch (record) {
      case CellRecord.JobAccepted accepted ->
          placer.submit(accepted.jobId(), accepted.spec(), now());
      case CellRecord.JobCancelled cancelled -> cancel(cancelled.jobId());
      case CellRecord.WorkerJoined joined -> {
        placer.addWorker(joined.worker());
        watcher.add(joined.worker());
        applyStatus(joined.worker().id());
      }
      case CellRecord.WorkerChanged changed -> {
        quarantines.folded(changed);
        changeWorker(changed.workerId(), changed.status());
      }
      case CellRecord.DomainDeclaredLost lost -> loseDomain(lost);
      default -> {}
    }
  }

  /** Takes a report of a session holder. */
  void report(SessionReportMessage report) {
    if (report.getEpoch() != epoch || over) {
      return;
    }
    long token = report.getLeaderClockMillis();
    for (AttemptMessage message : report.getEndedList()) {
      Optional<TaskOutcome> outcome = Optional.of(reported(message.getOutcome()));
      take(message.getWorkerId(), idOf(message), message.getAttempt(), outcome);
    }
    for (AttemptMessage message : report.getExtraList()) {
      take(message.getWorkerId(), idOf(message), message.getAttempt(), Optional.empty());
    }
    for (AttemptMessage message : report.getMissingList()) {
      ledger
          .find(idOf(message))
          .filter(entry -> entry.isOn(message.getWorkerId(), message.getAttempt()))
          .ifPresent(entry -> missing(entry, token));
    }
    for (AttemptMessage message : report.getUsageList()) {
      placer.observeUsage(
          idOf(message),
          new Resources(message.getCpuMillis(), message.getMemoryMib(), message.getAccelerators()),
          now());
    }
    report.getUnreachableWorkersList().forEach(this::unreachable);
  }

  private boolean build(CellState state) {
    builtThrough = state.nextOffset();
    state
        .workers()
        .forEach(
            worker -> {
              placer.addWorker(worker.spec());
              placer.setWorkerStatus(worker.spec().id(), WorkerStatus.DRAINING);
              if (worker.status() != WorkerStatus.LOST) {
                watcher.add(worker.spec());
              }
            });
    quarantines.load(state, now());
    ledger.load(state);
    for (JobState job : state.jobs()) {
      if (!job.isSettled()) {
        restore(job);
      }
    }
    state
        .workers()
        .forEach(
            worker -> {
              if (worker.status() == WorkerStatus.LOST) {
                placer.setWorkerStatus(worker.spec().id(), WorkerStatus.LOST);
              }
            });
    return true;
  }

  private void restore(JobState job) {
    long now = now();
    placer.submit(job.jobId(), job.spec(), now);
    for (int i = 0; i < job.spec().taskCount(); i++) {
      TaskId id = new TaskId(job.jobId(), i);
      if (job.task(i).isRunning()) {
        placer.restore(id, job.task(i).workerId().orElseThrow(), now);
      } else if (job.task(i).settled()) {
        placer.taskEnded(id, TaskOutcome.CANCELLED, now);
      }
    }
    if (job.isCancelled()) {
      placer.cancel(job.jobId());
      for (int i = 0; i < job.spec().taskCount(); i++) {
        ledger
            .find(new TaskId(job.jobId(), i))
            .filter(entry -> entry.phase() == TaskEntry.Phase.RUNNING)
            .ifPresent(entry -> entry.wantStop(TaskOutcome.CANCELLED, false));
      }
    }
  }

  private void place(TaskId id, String workerId) {
    Optional<TaskEntry> found = ledger.find(id);
    if (found.isEmpty() || !found.get().isPending() || isCancelled(id.jobId())) {
      placer.taskEnded(id, TaskOutcome.CANCELLED, now());
      return;
    }
    TaskEntry entry = found.get();
    if (!watcher.isUsable(workerId)) {
      placer.taskEnded(id, TaskOutcome.NOT_RUN, now());
      return;
    }
    entry.hold(workerId);
    ledger.keep(entry);
    held.add(entry);
    resume(entry);
  }

  /** Starts a held task if no unknown worker could be running it. */
  private void resume(TaskEntry entry) {
    if (!held.contains(entry) || mayRunElsewhere(entry)) {
      return;
    }
    held.remove(entry);
    if (!watcher.isUsable(entry.workerId()) || isCancelled(entry.id().jobId())) {
      abandon(entry);
      return;
    }
    start(entry);
  }

  private boolean mayRunElsewhere(TaskEntry entry) {
    boolean once = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
    boolean fromBefore =
        context
            .store()
            .read(state -> state.job(entry.id().jobId()))
            .map(job -> job.acceptedOffset() < claimOffset)
            .orElse(false);
    return context.rules().fencing()
        && fromBefore
        && !once
        && watcher.couldRunUnseen(entry.spec(), entry.workerId());
  }

  private void start(TaskEntry entry) {
    entry.begin(entry.attempt() + 1, entry.workerId());
    ledger.enterWorker(entry);
    boolean once = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
    boolean keep = entry.spec().loss() == LossPolicy.KEEP && context.reader().isLogReachable();
    boolean ahead = context.rules().writeAhead() && (once || keep);
    int attempt = entry.attempt();
    if (ahead) {
      recordStart(entry, StartMode.WRITE_AHEAD, () -> command(entry, attempt, true));
    } else {
      command(entry, attempt, false);
    }
  }

  private void command(TaskEntry entry, int attempt, boolean recorded) {
    if (entry.attempt() != attempt || entry.phase() != TaskEntry.Phase.STARTING) {
      return;
    }
    boolean able = context.standing().remainingMillis() > 0;
    if (!able || !watcher.isUsable(entry.workerId()) || entry.stopOutcome().isPresent()) {
      notRun(entry, recorded);
      return;
    }
    WorkerCommand.Start command =
        new WorkerCommand.Start(
            epoch,
            entry.id(),
            attempt,
            entry.spec().resources(),
            entry.spec().loss(),
            context.timings().lease().toMillis(),
            entry.spec().command());
    if (!recorded) {
      unrecorded++;
    }
    long sent = now();
    context
        .gateway()
        .send(watcher.specOf(entry.workerId()), command)
        .thenAccept(reply -> shard.execute(() -> commanded(entry, attempt, recorded, reply, sent)));
  }

  private void commanded(
      TaskEntry entry, int attempt, boolean recorded, WorkerReply reply, long sent) {
    if (over || !entry.isOn(entry.workerId(), attempt)) {
      return;
    }
    boolean mayRun = reply instanceof WorkerReply.Done || reply instanceof WorkerReply.Unknown;
    if (!mayRun) {
      unrecorded -= recorded ? 0 : 1;
      notRun(entry, recorded);
      return;
    }
    boolean done = reply instanceof WorkerReply.Done;
    entry.confirm(done ? now() : now() + context.timings().drift().toMillis());
    context.timeline().record("task-started", entry.id().toString(), "on " + entry.workerId());
    if (!recorded) {
      recordStart(entry, StartMode.WRITE_BEHIND, () -> {});
    }
    if (reply instanceof WorkerReply.Done answer) {
      reconcile(entry.workerId(), answer.tasks(), sent);
    }
  }

  private void recordStart(TaskEntry entry, StartMode mode, Runnable next) {
    int attempt = entry.attempt();
    CellRecord record = new CellRecord.TaskStarted(entry.id(), attempt, entry.workerId(), mode);
    write(
        entry,
        record,
        result -> {
          unrecorded -= mode == StartMode.WRITE_BEHIND ? 1 : 0;
          boolean applied = result instanceof WriteResult.Folded folded && folded.isApplied();
          if (applied) {
            next.run();
          } else if (entry.attempt() == attempt && entry.isActive()) {
            rejected(entry, mode);
          }
        });
  }

  /** Gives up a start whose record did not count. */
  private void rejected(TaskEntry entry, StartMode mode) {
    if (mode == StartMode.WRITE_BEHIND) {
      sendStop(entry.workerId(), entry.id(), entry.attempt(), false);
    }
    ledger.leaveWorker(entry);
    entry.end(TaskOutcome.NOT_RUN, isCancelled(entry.id().jobId()));
    placer.taskEnded(entry.id(), TaskOutcome.NOT_RUN, now());
    ledger.dropIfIdle(entry);
  }

  private void notRun(TaskEntry entry, boolean recorded) {
    if (recorded) {
      finish(entry, TaskOutcome.NOT_RUN);
    } else {
      ledger.leaveWorker(entry);
      abandon(entry);
    }
  }

  private void abandon(TaskEntry entry) {
    entry.release();
    placer.taskEnded(entry.id(), TaskOutcome.NOT_RUN, now());
    ledger.dropIfIdle(entry);
  }

  /** Records the end of an attempt and frees what it held. */
  private void finish(TaskEntry entry, TaskOutcome outcome) {
    ledger.leaveWorker(entry);
    int attempt = entry.attempt();
    entry.end(outcome, isCancelled(entry.id().jobId()));
    ledger.keep(entry);
    placer.taskEnded(entry.id(), outcome, now());
    if (entry.isSettled()) {
      placer.taskEnded(entry.id(), TaskOutcome.CANCELLED, now());
    }
    context.timeline().record("task-ended", entry.id().toString(), outcome.name());
    write(entry, new CellRecord.TaskEnded(entry.id(), attempt, outcome), result -> {});
  }

  private void write(TaskEntry entry, CellRecord record, Consumer<WriteResult> next) {
    entry.addOutstanding(1);
    context
        .writer()
        .write(epoch, record)
        .thenAccept(
            result ->
                shard.execute(
                    () -> {
                      entry.addOutstanding(-1);
                      if (!over) {
                        next.accept(result);
                        ledger.dropIfIdle(entry);
                      }
                    }));
  }

  private void stop(TaskEntry entry, TaskOutcome outcome, boolean checkpoint) {
    entry.wantStop(outcome, checkpoint);
    if (entry.phase() == TaskEntry.Phase.RUNNING) {
      sendStop(entry.workerId(), entry.id(), entry.attempt(), checkpoint);
    }
  }

  private void sendStop(String workerId, TaskId id, int attempt, boolean checkpoint) {
    if (!watcher.isUsable(workerId) || context.standing().remainingMillis() <= 0) {
      return;
    }
    long sent = now();
    context
        .gateway()
        .send(watcher.specOf(workerId), new WorkerCommand.Stop(epoch, id, attempt, checkpoint))
        .thenAccept(
            reply ->
                shard.execute(
                    () -> {
                      if (reply instanceof WorkerReply.Done done) {
                        reconcile(workerId, done.tasks(), sent);
                      }
                    }));
  }

  private void cancel(String jobId) {
    placer.cancel(jobId);
    for (TaskEntry entry : ledger.all()) {
      if (entry.id().jobId().equals(jobId)) {
        if (held.remove(entry)) {
          abandon(entry);
        } else if (entry.isActive()) {
          stop(entry, TaskOutcome.CANCELLED, false);
        }
      }
    }
  }

  /** Compares a whole inventory, asked for at {@code asked}, with what should run. */
  private void reconcile(String workerId, List<TaskReport> reports, long asked) {
    if (over) {
      return;
    }
    Set<TaskId> seen = new HashSet<>();
    for (TaskReport report : reports) {
      take(workerId, report.task(), report.attempt(), report.ended());
      seen.add(report.task());
    }
    for (TaskEntry entry : ledger.onWorker(workerId)) {
      if (!seen.contains(entry.id())) {
        missing(entry, asked);
      }
    }
  }

  private void missing(TaskEntry entry, long asked) {
    boolean expected = entry.phase() == TaskEntry.Phase.RUNNING;
    if (expected && entry.confirmedAtMillis() < asked) {
      boolean once = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
      boolean stopped = entry.stopOutcome().isPresent() && isCancelled(entry.id().jobId());
      TaskOutcome lost = once ? TaskOutcome.UNKNOWN : TaskOutcome.LOST;
      finish(entry, stopped ? TaskOutcome.CANCELLED : lost);
    }
  }

  private void take(String workerId, TaskId id, int attempt, Optional<TaskOutcome> ended) {
    Optional<TaskEntry> found = ledger.find(id);
    if (found.isPresent() && found.get().isOn(workerId, attempt)) {
      TaskEntry entry = found.get();
      ended.ifPresent(outcome -> finish(entry, outcomeOf(entry, outcome)));
      return;
    }
    boolean newer = found.isPresent() && attempt > found.get().attempt();
    if (newer && !found.get().isActive() && isAdoptable(found.get())) {
      adopt(found.get(), workerId, attempt);
      ended.ifPresent(outcome -> finish(found.get(), outcome));
    } else if (ended.isEmpty()) {
      sendStop(workerId, id, attempt, false);
    }
  }

  private boolean isAdoptable(TaskEntry entry) {
    return !entry.isSettled()
        && entry.spec().rerun() == RerunPolicy.RERUN
        && !isCancelled(entry.id().jobId());
  }

  /** Takes over an attempt that a former leader started without a record. */
  private void adopt(TaskEntry entry, String workerId, int attempt) {
    if (held.remove(entry)) {
      placer.taskEnded(entry.id(), TaskOutcome.NOT_RUN, now());
    }
    entry.begin(attempt, workerId);
    entry.confirm(now());
    ledger.enterWorker(entry);
    placer.restore(entry.id(), workerId, now());
    unrecorded++;
    recordStart(entry, StartMode.WRITE_BEHIND, () -> {});
  }

  /** Ends the tasks of a class on a worker whose leases have lapsed for certain. */
  private void lapsed(String workerId, LossPolicy loss) {
    for (TaskEntry entry : ledger.onWorker(workerId)) {
      if (entry.phase() == TaskEntry.Phase.RUNNING && entry.spec().loss() == loss) {
        missing(entry, Long.MAX_VALUE);
      }
    }
  }

  private void unreachable(String workerId) {
    if (watcher.isUsable(workerId)) {
      LOGGER.atInfo().log("scheduling: worker %s is silent, its leases may lapse.", workerId);
      context.timeline().record("worker-suspended", workerId, "does not answer");
      watcher.suspend(workerId);
      applyStatus(workerId);
      if (!context.rules().lapseCertainty()) {
        lapsed(workerId, LossPolicy.MOVE);
        lapsed(workerId, LossPolicy.KEEP);
      }
    }
  }

  private void applyStatus(String workerId) {
    WorkerStatus status =
        context
            .store()
            .read(state -> state.worker(workerId).map(worker -> worker.status()))
            .orElse(WorkerStatus.LOST);
    boolean hidden = status == WorkerStatus.ACTIVE && !watcher.isUsable(workerId);
    placer.setWorkerStatus(workerId, hidden ? WorkerStatus.DRAINING : status);
  }

  private void changeWorker(String workerId, WorkerStatus status) {
    if (status == WorkerStatus.LOST) {
      loseWorker(workerId);
    }
    applyStatus(workerId);
  }

  private void loseDomain(CellRecord.DomainDeclaredLost lost) {
    List<WorkerSpec> specs =
        context
            .store()
            .read(state -> state.workers().stream().map(worker -> worker.spec()).toList());
    for (WorkerSpec spec : specs) {
      boolean inZone = lost.zone().isEmpty() || lost.zone().get().equals(spec.zone().name());
      if (spec.zone().region().equals(lost.region()) && inZone) {
        loseWorker(spec.id());
        applyStatus(spec.id());
      }
    }
  }

  /** Takes note that the fold ended all tasks of a worker. */
  private void loseWorker(String workerId) {
    watcher.remove(workerId);
    for (TaskEntry entry : ledger.onWorker(workerId)) {
      boolean once = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
      TaskOutcome outcome = once ? TaskOutcome.UNKNOWN : TaskOutcome.LOST;
      ledger.leaveWorker(entry);
      entry.end(outcome, isCancelled(entry.id().jobId()));
      placer.taskEnded(entry.id(), outcome, now());
      ledger.dropIfIdle(entry);
    }
  }

  private boolean isCancelled(String jobId) {
    return context.store().read(state -> state.job(jobId)).map(JobState::isCancelled).orElse(true);
  }

  private static TaskOutcome outcomeOf(TaskEntry entry, TaskOutcome reported) {
    return reported == TaskOutcome.CANCELLED
        ? entry.stopOutcome().orElse(TaskOutcome.LOST)
        : reported;
  }

  private static TaskId idOf(AttemptMessage message) {
    return new TaskId(message.getJobId(), message.getIndex());
  }

  private static TaskOutcome reported(int number) {
    TaskOutcome[] outcomes = TaskOutcome.values();
    return number >= 1 && number <= outcomes.length ? outcomes[number - 1] : TaskOutcome.LOST;
  }

  private long now() {
    return context.timer().monotonicMillis();
  }
}
