package org.vanillacove.coordination.scheduling;

import java.util.List;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** Applies changes of workers to the placer, the task table and the worker monitor. */
final class WorkerChangeHandler {
  /** State shared by the classes of the term. */
  private final TermState term;

  /** Knows which workers may receive commands. */
  private final WorkerMonitor workerMonitor;

  WorkerChangeHandler(TermState term, WorkerMonitor workerMonitor) {
    this.term = term;
    this.workerMonitor = workerMonitor;
  }

  /** Adds a worker that joined the cell. */
  void handleJoin(WorkerSpec worker) {
    term.placer().addWorker(worker);
    workerMonitor.add(worker);
    updatePlacer(worker.id());
  }

  /** Applies the status that an operator or the leader gave to a worker. */
  void applyChange(String workerId, WorkerStatus status) {
    if (status == WorkerStatus.LOST) {
      removeLostWorker(workerId);
    }
    updatePlacer(workerId);
  }

  /** Removes the workers of a region or availability zone that was declared lost. */
  void removeDomain(CellRecord.DomainDeclaredLost declaration) {
    List<WorkerSpec> specs =
        term.context()
            .store()
            .read(state -> state.workers().stream().map(worker -> worker.spec()).toList());
    for (WorkerSpec spec : specs) {
      boolean inZone =
          declaration.zone().isEmpty() || declaration.zone().get().equals(spec.zone().name());
      if (spec.zone().region().equals(declaration.region()) && inZone) {
        removeLostWorker(spec.id());
        updatePlacer(spec.id());
      }
    }
  }

  /** Updates the status of a worker in the placer; an unusable active worker counts as draining. */
  void updatePlacer(String workerId) {
    WorkerStatus status =
        term.context()
            .store()
            .read(state -> state.worker(workerId).map(worker -> worker.status()))
            .orElse(WorkerStatus.LOST);
    boolean unusable = status == WorkerStatus.ACTIVE && !workerMonitor.isUsable(workerId);
    term.placer().setWorkerStatus(workerId, unusable ? WorkerStatus.DRAINING : status);
  }

  /** Ends all tasks of a lost worker, as applying the record did in the cell state. */
  private void removeLostWorker(String workerId) {
    workerMonitor.remove(workerId);
    for (TaskEntry entry : term.taskTable().onWorker(workerId)) {
      TaskOutcome outcome = outcomeOnLoss(entry);
      term.taskTable().removeFromWorker(entry);
      entry.endAttempt(outcome, term.isCancelled(entry.id().jobId()));
      term.reportTaskEnd(entry.id(), outcome);
      term.taskTable().dropIfIdle(entry);
    }
  }

  /**
   * Returns the outcome in the cell state, or not-run if the start was neither applied nor sent.
   */
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
    boolean commanded = entry.phase() == TaskEntry.Phase.RUNNING;
    return recorded || commanded ? TaskOutcome.UNKNOWN : TaskOutcome.NOT_RUN;
  }
}
