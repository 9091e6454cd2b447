package org.vanillacove.coordination.scheduling;

import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.coordination.stream.WriteResult;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.JobState;

/** Writes records of tasks and updates the task table and the placer. */
final class TaskRecorder {
  /** State shared by the classes of the term. */
  private final TermState term;

  TaskRecorder(TermState term) {
    this.term = term;
  }

  /** Records the end of an attempt and frees its resources. */
  void recordEnd(TaskEntry entry, TaskOutcome outcome) {
    term.taskTable().removeFromWorker(entry);
    int attempt = entry.attempt();
    entry.endAttempt(outcome, term.isCancelled(entry.id().jobId()));
    term.taskTable().track(entry);
    term.reportTaskEnd(entry.id(), outcome);
    if (entry.isSettled()) {
      term.reportTaskEnd(entry.id(), TaskOutcome.CANCELLED);
    }
    term.context().timeline().record("task-ended", entry.id().toString(), outcome.name());
    writeRecord(
        entry,
        new CellRecord.TaskEnded(entry.id(), attempt, outcome),
        result -> {
          if (isInvalid(result) && entry.isIdle() && entry.isSettled()) {
            term.taskTable().dropIfIdle(entry);
            requeueIfPending(entry.id());
          }
        });
  }

  /** Writes a record of a task, which stays in the task table until the outcome is known. */
  void writeRecord(TaskEntry entry, CellRecord record, Consumer<WriteResult> resultHandler) {
    entry.addOutstandingRecords(1);
    term.context()
        .writer()
        .write(term.epoch(), record)
        .thenAccept(
            result -> term.shard().execute(() -> handleResult(entry, result, resultHandler)));
  }

  private static boolean isInvalid(WriteResult result) {
    return result instanceof WriteResult.Committed committed
        && committed.outcome() instanceof ApplyOutcome.Invalid;
  }

  /**
   * Queues a task again if the cell state has it as pending because another record ended the
   * attempt first, for instance the loss of its worker.
   */
  private void requeueIfPending(TaskId id) {
    Optional<JobState> found = term.context().store().read(state -> state.job(id.jobId()));
    boolean pending =
        found.isPresent() && !found.get().isCancelled() && found.get().task(id.index()).isPending();
    if (!pending) {
      return;
    }
    JobState job = found.get();
    Placer placer = term.placer();
    placer.submit(job.jobId(), job.spec(), term.now());
    for (int i = 0; i < job.spec().taskCount(); i++) {
      TaskId other = new TaskId(job.jobId(), i);
      Optional<String> worker = job.task(i).workerId();
      if (job.task(i).settled()) {
        term.reportTaskEnd(other, TaskOutcome.CANCELLED);
      } else {
        worker.ifPresent(workerId -> placer.restore(other, workerId, term.now()));
      }
    }
    placer.restore(id, "", term.now());
    term.reportTaskEnd(id, TaskOutcome.NOT_RUN);
  }

  private void handleResult(
      TaskEntry entry, WriteResult result, Consumer<WriteResult> resultHandler) {
    entry.addOutstandingRecords(-1);
    if (!term.hasEnded()) {
      resultHandler.accept(result);
      term.taskTable().dropIfIdle(entry);
    }
  }
}
