package org.vanillacove.coordination.scheduling;

import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.JobState;
import org.vanillacove.state.cell.WorkerState;

/** Fills the placer, the task table and the worker monitor of a new term from the cell state. */
final class TermLoader {
  /** State shared by the classes of the term. */
  private final TermState term;

  /** Knows which workers may receive commands. */
  private final WorkerMonitor workerMonitor;

  TermLoader(TermState term, WorkerMonitor workerMonitor) {
    this.term = term;
    this.workerMonitor = workerMonitor;
  }

  /** Loads the state and returns the offset after its newest record. */
  long load(CellState state) {
    for (WorkerState worker : state.workers()) {
      term.placer().addWorker(worker.spec());
      term.placer().setWorkerStatus(worker.spec().id(), WorkerStatus.DRAINING);
      if (worker.status() != WorkerStatus.LOST) {
        workerMonitor.add(worker.spec());
      }
    }
    term.taskTable().load(state);
    for (JobState job : state.jobs()) {
      if (!job.isSettled()) {
        restore(job);
      }
    }
    for (WorkerState worker : state.workers()) {
      if (worker.status() == WorkerStatus.LOST) {
        term.placer().setWorkerStatus(worker.spec().id(), WorkerStatus.LOST);
      }
    }
    return state.nextOffset();
  }

  private void restore(JobState job) {
    long now = term.now();
    term.placer().submit(job.jobId(), job.spec(), now);
    for (int i = 0; i < job.spec().taskCount(); i++) {
      TaskId id = new TaskId(job.jobId(), i);
      if (job.task(i).isRunning()) {
        term.placer().restore(id, job.task(i).workerId().orElseThrow(), now);
      } else if (job.task(i).settled()) {
        term.reportTaskEnd(id, TaskOutcome.CANCELLED);
      }
    }
    if (job.isCancelled()) {
      term.placer().cancel(job.jobId());
      for (int i = 0; i < job.spec().taskCount(); i++) {
        term.taskTable()
            .find(new TaskId(job.jobId(), i))
            .filter(entry -> entry.phase() == TaskEntry.Phase.RUNNING)
            .ifPresent(entry -> entry.requestStop(TaskOutcome.CANCELLED, false));
      }
    }
  }
}
