package org.vanillacove.coordination.scheduling;

import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.coordination.stream.WriteResult;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.cell.FoldOutcome;
import org.vanillacove.state.cell.JobState;

/** Records what happens to tasks. */
final class TaskRecorder {
  /** What the parts of the term share. */
  private final TermState term;

  TaskRecorder(TermState term) {
    this.term = term;
  }

  /** Records the end of an attempt and frees what it held. */
  void finish(TaskEntry entry, TaskOutcome outcome) {
    term.ledger().leaveWorker(entry);
    int attempt = entry.attempt();
    entry.end(outcome, term.isCancelled(entry.id().jobId()));
    term.ledger().keep(entry);
    term.release(entry.id(), outcome);
    if (entry.isSettled()) {
      term.release(entry.id(), TaskOutcome.CANCELLED);
    }
    term.context().timeline().record("task-ended", entry.id().toString(), outcome.name());
    write(
        entry,
        new CellRecord.TaskEnded(entry.id(), attempt, outcome),
        result -> {
          if (isInvalid(result) && entry.isIdle() && entry.isSettled()) {
            term.ledger().dropIfIdle(entry);
            requeue(entry.id());
          }
        });
  }

  /** Writes a record of a task, which is kept in the ledger until the result is known. */
  void write(TaskEntry entry, CellRecord record, Consumer<WriteResult> next) {
    entry.addOutstanding(1);
    term.context()
        .writer()
        .write(term.epoch(), record)
        .thenAccept(result -> term.shard().execute(() -> written(entry, result, next)));
  }

  private static boolean isInvalid(WriteResult result) {
    return result instanceof WriteResult.Folded folded
        && folded.outcome() instanceof FoldOutcome.Invalid;
  }

  /** Queues a task again that the fold ended otherwise, for instance with its lost worker. */
  private void requeue(TaskId id) {
    Optional<JobState> found = term.context().store().read(state -> state.job(id.jobId()));
    boolean waits =
        found.isPresent() && !found.get().isCancelled() && found.get().task(id.index()).isPending();
    if (!waits) {
      return;
    }
    JobState job = found.get();
    Placer placer = term.placer();
    placer.submit(job.jobId(), job.spec(), term.now());
    for (int i = 0; i < job.spec().taskCount(); i++) {
      TaskId other = new TaskId(job.jobId(), i);
      Optional<String> worker = job.task(i).workerId();
      if (job.task(i).settled()) {
        term.release(other, TaskOutcome.CANCELLED);
      } else {
        worker.ifPresent(workerId -> placer.restore(other, workerId, term.now()));
      }
    }
    placer.restore(id, "", term.now());
    term.release(id, TaskOutcome.NOT_RUN);
  }

  private void written(TaskEntry entry, WriteResult result, Consumer<WriteResult> next) {
    entry.addOutstanding(-1);
    if (!term.isOver()) {
      next.accept(result);
      term.ledger().dropIfIdle(entry);
    }
  }
}
