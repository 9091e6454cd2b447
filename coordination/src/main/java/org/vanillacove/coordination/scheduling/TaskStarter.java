package org.vanillacove.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.stream.WriteResult;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/**
 * Starts placed tasks: sends the start commands and records the starts. A task is held back while a
 * worker out of contact could still run it.
 */
final class TaskStarter {
  /** Maximum number of starts that are commanded before their record is applied. */
  private static final int MAX_UNRECORDED_STARTS = 256;

  /** State shared by the classes of the term. */
  private final TermState term;

  /** Knows which workers may receive commands. */
  private final WorkerMonitor workerMonitor;

  /** Writes records of tasks to the log. */
  private final TaskRecorder recorder;

  /** Sends stop commands. */
  private final TaskStopper stopper;

  /** Receives replies to commands that took effect. */
  private final ReplyHandler replyHandler;

  /** Placed tasks that a worker out of contact could still run. */
  private final Set<TaskEntry> held = new HashSet<>();

  /** Number of commanded starts whose record has not been applied yet. */
  private int unrecordedStarts;

  TaskStarter(
      TermState term,
      WorkerMonitor workerMonitor,
      TaskRecorder recorder,
      TaskStopper stopper,
      ReplyHandler replyHandler) {
    this.term = term;
    this.workerMonitor = workerMonitor;
    this.recorder = recorder;
    this.stopper = stopper;
    this.replyHandler = replyHandler;
  }

  /** Receives replies to start commands that took effect. */
  @FunctionalInterface
  interface ReplyHandler {
    /** Handles the reply of a worker to a start command. */
    void handle(String workerId, WorkerReply.Done reply);
  }

  /** Returns whether the maximum number of unrecorded starts is reached. */
  boolean isFull() {
    return unrecordedStarts >= MAX_UNRECORDED_STARTS;
  }

  /** Returns whether no start is in progress. */
  boolean isIdle() {
    return unrecordedStarts == 0
        && term.taskTable().all().stream().noneMatch(e -> e.phase() == TaskEntry.Phase.STARTING);
  }

  /** Starts a task on the worker chosen by the placer, or holds it back until that is safe. */
  void startPlaced(TaskId id, String workerId) {
    Optional<TaskEntry> found = term.taskTable().find(id);
    if (found.isEmpty() || !found.get().isPending() || term.isCancelled(id.jobId())) {
      term.reportTaskEnd(id, TaskOutcome.CANCELLED);
      return;
    }
    TaskEntry entry = found.get();
    if (!workerMonitor.isUsable(workerId)) {
      term.reportTaskEnd(id, TaskOutcome.NOT_RUN);
      return;
    }
    entry.place(workerId);
    term.taskTable().track(entry);
    held.add(entry);
    startUnlessHeld(entry);
  }

  /** Starts held tasks that no worker out of contact can be running any more. */
  void retryHeldStarts() {
    new ArrayList<>(held).forEach(this::startUnlessHeld);
  }

  /** Cancels the pending start of a held task; returns whether the task was held. */
  boolean cancelHeld(TaskEntry entry) {
    boolean wasHeld = held.remove(entry);
    if (wasHeld) {
      abandonPlacement(entry);
    }
    return wasHeld;
  }

  /** Records an attempt that a former leader started without a record, and continues with it. */
  void adopt(TaskEntry entry, String workerId, int attempt) {
    if (held.remove(entry)) {
      term.reportTaskEnd(entry.id(), TaskOutcome.NOT_RUN);
    }
    entry.beginAttempt(attempt, workerId);
    entry.markRunning(term.now());
    term.taskTable().addToWorker(entry);
    term.placer().restore(entry.id(), workerId, term.now());
    unrecordedStarts++;
    recordStart(entry, StartMode.WRITE_BEHIND, () -> {});
  }

  private void startUnlessHeld(TaskEntry entry) {
    if (!held.contains(entry) || mayRunElsewhere(entry)) {
      return;
    }
    held.remove(entry);
    if (!workerMonitor.isUsable(entry.workerId()) || term.isCancelled(entry.id().jobId())) {
      abandonPlacement(entry);
      return;
    }
    start(entry);
  }

  private boolean mayRunElsewhere(TaskEntry entry) {
    LeaderContext context = term.context();
    boolean atMostOnce = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
    boolean acceptedBeforeTerm =
        context
            .store()
            .read(state -> state.job(entry.id().jobId()))
            .map(job -> job.acceptedOffset() < term.claimOffset())
            .orElse(false);
    return context.rules().fencing()
        && acceptedBeforeTerm
        && !atMostOnce
        && workerMonitor.couldRunUndetected(entry.spec(), entry.workerId());
  }

  private void start(TaskEntry entry) {
    LeaderContext context = term.context();
    entry.beginAttempt(entry.attempt() + 1, entry.workerId());
    term.taskTable().addToWorker(entry);
    boolean atMostOnce = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
    boolean recordKeptTask =
        entry.spec().loss() == LossPolicy.KEEP && context.reader().isLogReachable();
    boolean recordFirst = context.rules().writeAhead() && (atMostOnce || recordKeptTask);
    int attempt = entry.attempt();
    if (recordFirst) {
      recordStart(entry, StartMode.WRITE_AHEAD, () -> sendStart(entry, attempt, true));
    } else {
      sendStart(entry, attempt, false);
    }
  }

  private void sendStart(TaskEntry entry, int attempt, boolean recorded) {
    if (entry.attempt() != attempt || entry.phase() != TaskEntry.Phase.STARTING) {
      return;
    }
    boolean usable = term.hasHostLease() && workerMonitor.isUsable(entry.workerId());
    if (!usable || entry.stopOutcome().isPresent()) {
      endAsNotRun(entry, recorded);
      return;
    }
    WorkerCommand.Start command =
        new WorkerCommand.Start(
            term.epoch(),
            entry.id(),
            attempt,
            entry.spec().resources(),
            entry.spec().loss(),
            term.context().timings().lease().toMillis(),
            entry.spec().command());
    if (!recorded) {
      unrecordedStarts++;
    }
    term.context()
        .gateway()
        .send(workerMonitor.specOf(entry.workerId()), command)
        .thenAccept(
            reply -> term.shard().execute(() -> handleStartReply(entry, attempt, recorded, reply)));
  }

  private void handleStartReply(TaskEntry entry, int attempt, boolean recorded, WorkerReply reply) {
    if (term.hasEnded()) {
      return;
    }
    if (!entry.isActiveOn(entry.workerId(), attempt)) {
      unrecordedStarts -= recorded ? 0 : 1;
      return;
    }
    boolean mayRun = reply instanceof WorkerReply.Done || reply instanceof WorkerReply.Unknown;
    if (!mayRun) {
      unrecordedStarts -= recorded ? 0 : 1;
      endAsNotRun(entry, recorded);
      return;
    }
    long driftMillis =
        reply instanceof WorkerReply.Done ? 0 : term.context().timings().drift().toMillis();
    entry.markRunning(term.now() + driftMillis);
    term.context()
        .timeline()
        .record("task-started", entry.id().toString(), "on " + entry.workerId());
    if (!recorded) {
      recordStart(entry, StartMode.WRITE_BEHIND, () -> {});
    }
    if (reply instanceof WorkerReply.Done done) {
      replyHandler.handle(entry.workerId(), done);
    }
  }

  private void recordStart(TaskEntry entry, StartMode mode, Runnable onApplied) {
    int attempt = entry.attempt();
    CellRecord record = new CellRecord.TaskStarted(entry.id(), attempt, entry.workerId(), mode);
    recorder.writeRecord(
        entry,
        record,
        result -> {
          unrecordedStarts -= mode == StartMode.WRITE_BEHIND ? 1 : 0;
          boolean applied =
              result instanceof WriteResult.Committed committed && committed.isApplied();
          if (applied) {
            onApplied.run();
          } else if (entry.attempt() == attempt && entry.isActive()) {
            handleRejectedRecord(entry, mode);
          }
        });
  }

  /** Cancels a start whose record was rejected. */
  private void handleRejectedRecord(TaskEntry entry, StartMode mode) {
    if (mode == StartMode.WRITE_BEHIND) {
      stopper.sendStop(entry.workerId(), entry.id(), entry.attempt(), false);
    }
    term.taskTable().removeFromWorker(entry);
    entry.endAttempt(TaskOutcome.NOT_RUN, term.isCancelled(entry.id().jobId()));
    term.reportTaskEnd(entry.id(), TaskOutcome.NOT_RUN);
    term.taskTable().dropIfIdle(entry);
  }

  private void endAsNotRun(TaskEntry entry, boolean recorded) {
    if (recorded) {
      recorder.recordEnd(entry, TaskOutcome.NOT_RUN);
    } else {
      term.taskTable().removeFromWorker(entry);
      abandonPlacement(entry);
    }
  }

  private void abandonPlacement(TaskEntry entry) {
    entry.unplace();
    term.reportTaskEnd(entry.id(), TaskOutcome.NOT_RUN);
    term.taskTable().dropIfIdle(entry);
  }
}
