package org.vanillacove.coordination.scheduling;

import java.util.List;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** Applies changes of workers to placer, ledger and watcher. */
final class WorkerChanges {
  /** What the parts of the term share. */
  private final TermState term;

  /** Contact with workers. */
  private final WorkerWatcher watcher;

  WorkerChanges(TermState term, WorkerWatcher watcher) {
    this.term = term;
    this.watcher = watcher;
  }

  /** Adds a worker that joined. */
  void join(WorkerSpec worker) {
    term.placer().addWorker(worker);
    watcher.add(worker);
    applyStatus(worker.id());
  }

  /** Takes over the status that an operator or the leader gave to a worker. */
  void change(String workerId, WorkerStatus status) {
    if (status == WorkerStatus.LOST) {
      lose(workerId);
    }
    applyStatus(workerId);
  }

  /** Takes note that a region or zone was declared lost. */
  void loseDomain(CellRecord.DomainDeclaredLost lost) {
    List<WorkerSpec> specs =
        term.context()
            .store()
            .read(state -> state.workers().stream().map(worker -> worker.spec()).toList());
    for (WorkerSpec spec : specs) {
      boolean inZone = lost.zone().isEmpty() || lost.zone().get().equals(spec.zone().name());
      if (spec.zone().region().equals(lost.region()) && inZone) {
        lose(spec.id());
        applyStatus(spec.id());
      }
    }
  }

  /** Tells the placer whether it may use a worker. */
  void applyStatus(String workerId) {
    WorkerStatus status =
        term.context()
            .store()
            .read(state -> state.worker(workerId).map(worker -> worker.status()))
            .orElse(WorkerStatus.LOST);
    boolean hidden = status == WorkerStatus.ACTIVE && !watcher.isUsable(workerId);
    term.placer().setWorkerStatus(workerId, hidden ? WorkerStatus.DRAINING : status);
  }

  /** Takes note that the fold ended all tasks of a worker. */
  private void lose(String workerId) {
    watcher.remove(workerId);
    for (TaskEntry entry : term.ledger().onWorker(workerId)) {
      TaskOutcome outcome = outcomeOnLoss(entry);
      term.ledger().leaveWorker(entry);
      entry.end(outcome, term.isCancelled(entry.id().jobId()));
      term.release(entry.id(), outcome);
      term.ledger().dropIfIdle(entry);
    }
  }

  /** Returns how the fold ended an attempt, or that it never ran if only its record was sent. */
  private TaskOutcome outcomeOnLoss(TaskEntry entry) {
    if (entry.spec().rerun() != RerunPolicy.AT_MOST_ONCE) {
      return TaskOutcome.LOST;
    }
    boolean recorded =
        term.context()
            .store()
            .read(state -> state.task(entry.id()))
            .map(task -> task.attempt() >= entry.attempt())
            .orElse(true);
    boolean sent = entry.phase() == TaskEntry.Phase.RUNNING;
    return recorded || sent ? TaskOutcome.UNKNOWN : TaskOutcome.NOT_RUN;
  }
}
