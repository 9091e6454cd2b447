package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.estimate.RunTimeRatios;
import org.vanillacove.state.estimate.RunTimeTable;
import org.vanillacove.state.work.OverrunPolicy;

/**
 * Decides whether a run without progress has stalled or is just longer than declared, and learns
 * how long runs last. What it has learned ends with the term: a new leader assumes a heavy tail.
 */
final class StallSupervisor {
  /** Logs stalled and overdue runs (prefix {@code workers:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** All known jobs. */
  private final JobTable jobs;

  /** Sessions by worker identifier; maintained by the cell. */
  private final Map<String, WorkerSession> workers;

  /** Counts stalled and overdue runs. */
  private final CellMetrics metrics;

  /** Clock by which run times are measured. */
  private final TimerService timer;

  /** Learned run times by queue and shape of the step. */
  private final RunTimeTable runTimes = new RunTimeTable();

  /** Creates a supervisor without observations. */
  StallSupervisor(
      JobTable jobs, Map<String, WorkerSession> workers, CellMetrics metrics, TimerService timer) {
    this.jobs = jobs;
    this.workers = workers;
    this.metrics = metrics;
    this.timer = timer;
  }

  /** Events of runs that last longer than declared; printed by name in metrics. */
  private enum Event {
    /** The run stands still and is stopped. */
    STALLED,
    /** The run has passed its declared time without a sign of progress and continues. */
    OVERDUE
  }

  /** Records the run time of a run that is done. */
  void completed(TaskRun run) {
    run.workedMillis(timer.monotonicMillis())
        .ifPresent(
            millis ->
                jobs.find(run.task().job())
                    .ifPresent(
                        job -> {
                          TrackedStep step = job.steps().get(run.task().step());
                          runTimes.observe(
                              job.spec().queue(),
                              step.spec().gang(),
                              step.spec().estimateMillis(),
                              (double) millis);
                        }));
  }

  /** Returns whether a run without progress for its stall timeout is to be stopped. */
  boolean isStalled(WorkerSession worker, TaskRun run) {
    Optional<TrackedJob> job = jobs.find(run.task().job());
    if (run.percent() < OverrunPolicy.FULL_PERCENT || job.isEmpty()) {
      logStalled(worker, run, "percentage");
      return true;
    }
    TrackedStep step = job.get().steps().get(run.task().step());
    long still = step.spec().gang() ? gangStillMillis(step, run) : run.stillMillis();
    if (still <= run.stallTimeoutMillis()) {
      return false;
    }
    RunTimeRatios ratios = runTimes.ratios(job.get().spec().queue(), step.spec().gang());
    OverrunPolicy.Verdict verdict =
        OverrunPolicy.judge(
            new OverrunPolicy.View(
                step.spec().estimateMillis(),
                still,
                step.spec().checkpoints(),
                worker.standsStill()),
            ratios);
    if (verdict.stops()) {
      logStalled(worker, run, verdict.name());
    } else if (run.markOverdue()) {
      metrics.countRunEvent(Event.OVERDUE);
      LOG.atInfo().log(
          "workers: overdue worker=%s task=%s run=%d declared_ms=%d still_ms=%d observed=%.0f",
          worker.id(),
          run.task(),
          run.number(),
          step.spec().estimateMillis(),
          still,
          ratios.weight());
    }
    return verdict.stops();
  }

  private void logStalled(WorkerSession worker, TaskRun run, String reason) {
    metrics.countRunEvent(Event.STALLED);
    LOG.atInfo().log(
        "workers: stalled worker=%s task=%s run=%d percent=%d stalled_ms=%d reason=%s",
        worker.id(), run.task(), run.number(), run.percent(), run.stillMillis(), reason);
  }

  /** Returns the time since any member made progress; a gang ends with its slowest member. */
  private long gangStillMillis(TrackedStep step, TaskRun run) {
    long still = run.stillMillis();
    for (TrackedTask task : step.tasks()) {
      Optional<TaskRun> member =
          task.worker()
              .map(workers::get)
              .flatMap(session -> session.findRun(task.name(), run.number()));
      still = Math.min(still, member.map(TaskRun::stillMillis).orElse(still));
    }
    return still;
  }
}
