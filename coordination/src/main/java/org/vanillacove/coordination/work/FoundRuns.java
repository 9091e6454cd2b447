package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.vanillacove.coordination.work.api.WorkerClient.CurrentRun;
import org.vanillacove.state.work.StallPolicy;

/**
 * Decides on reported runs that the leader did not start: those of former leaders, or late ones.
 */
final class FoundRuns {
  /** Logs each decision (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** All known jobs. */
  private final JobTable jobs;

  /** Keeps track of which members of a gang are present. */
  private final GangSupervisor gangs;

  /** Creates a decision over the cell's jobs. */
  FoundRuns(JobTable jobs, GangSupervisor gangs) {
    this.jobs = jobs;
    this.gangs = gangs;
  }

  /** Assigns the run to its task if that waits for one; otherwise the run is to be stopped. */
  SessionListener.FoundRun assess(WorkerSession worker, CurrentRun running) {
    Optional<TrackedTask> task = jobs.task(running.task());
    if (task.isEmpty()) {
      LOG.atInfo().log("jobs: unknown run task=%s worker=%s", running.task(), worker.id());
      // The job has ended and its demand isn't recorded, so the run counts with the whole
      // capacity of the worker until it is gone.
      return new SessionListener.FoundRun(worker.capacity(), Long.MAX_VALUE, false);
    }
    TrackedJob job = jobs.find(running.task().job()).orElseThrow();
    TrackedStep step = job.steps().get(running.task().step());
    TrackedTask known = task.get();
    known.observeRun(running.run());
    boolean wanted =
        job.stage() == TrackedJob.Stage.OPEN
            && known.isWaiting()
            && gangs.memberFound(step, running.run());
    if (wanted) {
      known.assign(worker.id(), running.run());
      job.markStarted();
      gangs.memberPresent(running.task(), running.run());
    } else {
      known.addUnwantedRun(running.run());
    }
    LOG.atInfo().log(
        "jobs: found run task=%s run=%d worker=%s wanted=%s",
        running.task(), running.run(), worker.id(), wanted);
    return new SessionListener.FoundRun(
        step.spec().demand(), StallPolicy.timeoutMillis(step.spec()), wanted);
  }
}
