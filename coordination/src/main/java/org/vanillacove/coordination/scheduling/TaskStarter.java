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

/** Starts placed tasks: holds them while they could run elsewhere, commands and records. */
final class TaskStarter {
  /** Starts commanded before their record is folded; no more are begun beyond. */
  private static final int MAX_UNRECORDED = 256;

  /** What the parts of the term share. */
  private final TermState term;

  /** Contact with workers. */
  private final WorkerWatcher watcher;

  /** Records what happens. */
  private final TaskRecorder recorder;

  /** Stops attempts. */
  private final TaskStopper stopper;

  /** Takes replies. */
  private final ReplyHandler replies;

  /** Placed tasks that an unknown worker could still run. */
  private final Set<TaskEntry> held = new HashSet<>();

  /** Starts commanded whose record is not folded. */
  private int unrecorded;

  TaskStarter(
      TermState term,
      WorkerWatcher watcher,
      TaskRecorder recorder,
      TaskStopper stopper,
      ReplyHandler replies) {
    this.term = term;
    this.watcher = watcher;
    this.recorder = recorder;
    this.stopper = stopper;
    this.replies = replies;
  }

  /** Takes replies to starts that took effect. */
  @FunctionalInterface
  interface ReplyHandler {
    /** Handles a reply. */
    void handle(String workerId, WorkerReply.Done reply);
  }

  /** Returns whether no more starts may be begun now. */
  boolean isFull() {
    return unrecorded >= MAX_UNRECORDED;
  }

  /** Returns whether no start is under way. */
  boolean isIdle() {
    return unrecorded == 0
        && term.ledger().all().stream().noneMatch(e -> e.phase() == TaskEntry.Phase.STARTING);
  }

  /** Starts a task on the worker that the placer chose. */
  void place(TaskId id, String workerId) {
    Optional<TaskEntry> found = term.ledger().find(id);
    if (found.isEmpty() || !found.get().isPending() || term.isCancelled(id.jobId())) {
      term.release(id, TaskOutcome.CANCELLED);
      return;
    }
    TaskEntry entry = found.get();
    if (!watcher.isUsable(workerId)) {
      term.release(id, TaskOutcome.NOT_RUN);
      return;
    }
    entry.hold(workerId);
    term.ledger().keep(entry);
    held.add(entry);
    resume(entry);
  }

  /** Starts held tasks that no unknown worker could be running any more. */
  void resumeHeld() {
    new ArrayList<>(held).forEach(this::resume);
  }

  /** Gives up a held task of a cancelled job; returns whether it was held. */
  boolean cancelHeld(TaskEntry entry) {
    boolean wasHeld = held.remove(entry);
    if (wasHeld) {
      abandon(entry);
    }
    return wasHeld;
  }

  /** Takes over an attempt that a former leader started without a record. */
  void adopt(TaskEntry entry, String workerId, int attempt) {
    if (held.remove(entry)) {
      term.release(entry.id(), TaskOutcome.NOT_RUN);
    }
    entry.begin(attempt, workerId);
    entry.confirm(term.now());
    term.ledger().enterWorker(entry);
    term.placer().restore(entry.id(), workerId, term.now());
    unrecorded++;
    record(entry, StartMode.WRITE_BEHIND, () -> {});
  }

  private void resume(TaskEntry entry) {
    if (!held.contains(entry) || mayRunElsewhere(entry)) {
      return;
    }
    held.remove(entry);
    if (!watcher.isUsable(entry.workerId()) || term.isCancelled(entry.id().jobId())) {
      abandon(entry);
      return;
    }
    start(entry);
  }

  private boolean mayRunElsewhere(TaskEntry entry) {
    LeaderContext context = term.context();
    boolean once = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
    boolean fromBefore =
        context
            .store()
            .read(state -> state.job(entry.id().jobId()))
            .map(job -> job.acceptedOffset() < term.claimOffset())
            .orElse(false);
    return context.rules().fencing()
        && fromBefore
        && !once
        && watcher.couldRunUnseen(entry.spec(), entry.workerId());
  }

  private void start(TaskEntry entry) {
    LeaderContext context = term.context();
    entry.begin(entry.attempt() + 1, entry.workerId());
    term.ledger().enterWorker(entry);
    boolean once = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
    boolean keep = entry.spec().loss() == LossPolicy.KEEP && context.reader().isLogReachable();
    boolean ahead = context.rules().writeAhead() && (once || keep);
    int attempt = entry.attempt();
    if (ahead) {
      record(entry, StartMode.WRITE_AHEAD, () -> command(entry, attempt, true));
    } else {
      command(entry, attempt, false);
    }
  }

  private void command(TaskEntry entry, int attempt, boolean recorded) {
    if (entry.attempt() != attempt || entry.phase() != TaskEntry.Phase.STARTING) {
      return;
    }
    boolean usable = term.hasStanding() && watcher.isUsable(entry.workerId());
    if (!usable || entry.stopOutcome().isPresent()) {
      notRun(entry, recorded);
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
      unrecorded++;
    }
    term.context()
        .gateway()
        .send(watcher.specOf(entry.workerId()), command)
        .thenAccept(
            reply -> term.shard().execute(() -> commanded(entry, attempt, recorded, reply)));
  }

  private void commanded(TaskEntry entry, int attempt, boolean recorded, WorkerReply reply) {
    if (term.isOver()) {
      return;
    }
    if (!entry.isOn(entry.workerId(), attempt)) {
      unrecorded -= recorded ? 0 : 1;
      return;
    }
    boolean mayRun = reply instanceof WorkerReply.Done || reply instanceof WorkerReply.Unknown;
    if (!mayRun) {
      unrecorded -= recorded ? 0 : 1;
      notRun(entry, recorded);
      return;
    }
    long margin =
        reply instanceof WorkerReply.Done ? 0 : term.context().timings().drift().toMillis();
    entry.confirm(term.now() + margin);
    term.context()
        .timeline()
        .record("task-started", entry.id().toString(), "on " + entry.workerId());
    if (!recorded) {
      record(entry, StartMode.WRITE_BEHIND, () -> {});
    }
    if (reply instanceof WorkerReply.Done done) {
      replies.handle(entry.workerId(), done);
    }
  }

  private void record(TaskEntry entry, StartMode mode, Runnable next) {
    int attempt = entry.attempt();
    CellRecord record = new CellRecord.TaskStarted(entry.id(), attempt, entry.workerId(), mode);
    recorder.write(
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
      stopper.send(entry.workerId(), entry.id(), entry.attempt(), false);
    }
    term.ledger().leaveWorker(entry);
    entry.end(TaskOutcome.NOT_RUN, term.isCancelled(entry.id().jobId()));
    term.release(entry.id(), TaskOutcome.NOT_RUN);
    term.ledger().dropIfIdle(entry);
  }

  private void notRun(TaskEntry entry, boolean recorded) {
    if (recorded) {
      recorder.finish(entry, TaskOutcome.NOT_RUN);
    } else {
      term.ledger().leaveWorker(entry);
      abandon(entry);
    }
  }

  private void abandon(TaskEntry entry) {
    entry.release();
    term.release(entry.id(), TaskOutcome.NOT_RUN);
    term.ledger().dropIfIdle(entry);
  }
}
