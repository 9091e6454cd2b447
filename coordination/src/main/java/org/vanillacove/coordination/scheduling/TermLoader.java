package org.vanillacove.coordination.scheduling;

import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.JobState;
import org.vanillacove.state.cell.WorkerState;

/** Fills placer, ledger and watcher of a new term from the folded state. */
final class TermLoader {
  /** What the parts of the term share. */
  private final TermState term;

  /** Contact with workers. */
  private final WorkerWatcher watcher;

  TermLoader(TermState term, WorkerWatcher watcher) {
    this.term = term;
    this.watcher = watcher;
  }

  /** Loads the state and returns the offset one past the newest record in it. */
  long load(CellState state) {
    for (WorkerState worker : state.workers()) {
      term.placer().addWorker(worker.spec());
      term.placer().setWorkerStatus(worker.spec().id(), WorkerStatus.DRAINING);
      if (worker.status() != WorkerStatus.LOST) {
        watcher.add(worker.spec());
      }
    }
    term.ledger().load(state);
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
        term.release(id, TaskOutcome.CANCELLED);
      }
    }
    if (job.isCancelled()) {
      term.placer().cancel(job.jobId());
      for (int i = 0; i < job.spec().taskCount(); i++) {
        term.ledger()
            .find(new TaskId(job.jobId(), i))
            .filter(entry -> entry.phase() == TaskEntry.Phase.RUNNING)
            .ifPresent(entry -> entry.wantStop(TaskOutcome.CANCELLED, false));
      }
    }
  }
}
