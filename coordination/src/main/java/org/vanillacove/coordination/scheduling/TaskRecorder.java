package org.vanillacove.coordination.scheduling;

import java.util.function.Consumer;
import org.vanillacove.coordination.stream.WriteResult;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.TaskOutcome;

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
    write(entry, new CellRecord.TaskEnded(entry.id(), attempt, outcome), result -> {});
  }

  /** Writes a record of a task, which is kept in the ledger until the result is known. */
  void write(TaskEntry entry, CellRecord record, Consumer<WriteResult> next) {
    entry.addOutstanding(1);
    term.context()
        .writer()
        .write(term.epoch(), record)
        .thenAccept(result -> term.shard().execute(() -> written(entry, result, next)));
  }

  private void written(TaskEntry entry, WriteResult result, Consumer<WriteResult> next) {
    entry.addOutstanding(-1);
    if (!term.isOver()) {
      next.accept(result);
      term.ledger().dropIfIdle(entry);
    }
  }
}
