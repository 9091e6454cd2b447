package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient.EndCause;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Keeps the runs of gangs whole. The members wait at their workers until all are present, so a run
 * that lacks a member for good, or for too long, is stopped as a whole and its gang waits again.
 */
final class GangSupervisor {
  /** Logs complete and incomplete runs of gangs (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /**
   * Time before the workers give up at which an incomplete run is stopped: latency of the stop
   * commands and one repetition of them.
   */
  private static final long STOP_MARGIN_MILLIS = 1_000;

  /** All known jobs. */
  private final JobTable jobs;

  /** Clock and timers; callbacks run on the scheduling thread. */
  private final TimerService timer;

  /** Counts stopped runs and the time until a run is complete. */
  private final CellMetrics metrics;

  /** Time in which all members of a run must be present. */
  private final Duration completionTimeout;

  /** Stops the current run of a task. */
  private final Consumer<TrackedTask> stopper;

  /** Whether the term has ended. */
  private boolean closed;

  /**
   * Creates a supervisor over the cell's jobs.
   *
   * @param jobs all known jobs
   * @param timer clock and timers; callbacks run on the scheduling thread
   * @param metrics counts stopped runs and the time until a run is complete
   * @param gangWaitMillis time in milliseconds for which a member waits at its worker for the
   *     others
   * @param stopper stops the current run of a task
   */
  GangSupervisor(
      JobTable jobs,
      TimerService timer,
      CellMetrics metrics,
      long gangWaitMillis,
      Consumer<TrackedTask> stopper) {
    this.jobs = jobs;
    this.timer = timer;
    this.metrics = metrics;
    this.stopper = stopper;
    completionTimeout =
        Duration.ofMillis(Math.max(gangWaitMillis / 2, gangWaitMillis - STOP_MARGIN_MILLIS));
  }

  /** Reason why a run lacks members, other than the refusal or the end of one of them. */
  enum Shortfall {
    /** A member is gone from its worker without a reported end. */
    LOST,
    /** The start of a member is given up; its outcome isn't known. */
    UNCONFIRMED,
    /** The run isn't complete in time. */
    TIMEOUT,
    /** A former leader started only some of the members. */
    NOT_STARTED,
    /** A member of a newer run was found. */
    NEWER_RUN
  }

  /** Begins to follow run {@code number} of a gang, whose start commands are sent now. */
  void placed(TrackedStep step, int number) {
    GangRun gang = follow(step, number);
    timer.after(completionTimeout, () -> stopIfIncomplete(step, gang, Shortfall.TIMEOUT));
  }

  /**
   * Records that a worker reports a member that a former leader started; returns whether the member
   * may continue.
   */
  boolean memberFound(TrackedStep step, int run) {
    if (!step.spec().gang()) {
      return true;
    }
    Optional<GangRun> known = step.gangRun();
    if (known.isEmpty() || known.get().number() < run) {
      known.ifPresent(older -> stopRun(step, older, Shortfall.NEWER_RUN));
      follow(step, run);
      return true;
    }
    return known.get().number() == run && !known.get().isOver();
  }

  /** Records that a worker confirmed the start of a member. */
  void memberPresent(TaskName task, int run) {
    current(task, run)
        .filter(gang -> gang.confirm(task.index()))
        .ifPresent(gang -> completed(task, gang));
  }

  /** Records that a member makes progress, which shows that all members are present. */
  void memberWorks(TaskName task, int run) {
    current(task, run).ifPresent(GangRun::markWorking);
  }

  /** Records the end of a member. */
  void memberEnded(TaskName task, int run, EndCause cause) {
    Optional<GangRun> gang = current(task, run);
    if (gang.isPresent() && (cause == EndCause.DONE || gang.get().isComplete())) {
      // The workers end the other members of a complete run themselves.
      gang.get().end();
    } else {
      memberGone(task, run, cause);
    }
  }

  /** Records that a member was refused or lost, or that its start is given up. */
  void memberGone(TaskName task, int run, Enum<?> reason) {
    current(task, run).ifPresent(gang -> stopRun(step(task).orElseThrow(), gang, reason));
  }

  /**
   * Stops the incomplete runs of former leaders; called once all of their runs are known, so that
   * no further member can appear.
   */
  void stopIncompleteRuns() {
    for (TrackedJob job : jobs.open()) {
      if (job.isInherited()) {
        job.steps()
            .forEach(
                step ->
                    step.gangRun()
                        .ifPresent(gang -> stopIfIncomplete(step, gang, Shortfall.NOT_STARTED)));
      }
    }
  }

  /** Ends the term: runs are left to the next leader. */
  void close() {
    closed = true;
  }

  private void completed(TaskName task, GangRun gang) {
    metrics.gangCompleted(ageMillis(gang));
    LOG.atInfo().log(
        "jobs: gang complete job=%s step=%d run=%d members=%d ms=%d",
        task.job(), task.step(), gang.number(), gang.size(), ageMillis(gang));
  }

  private GangRun follow(TrackedStep step, int number) {
    GangRun gang = new GangRun(number, step.spec().count(), timer.monotonicMillis());
    step.setGangRun(gang);
    return gang;
  }

  private void stopIfIncomplete(TrackedStep step, GangRun gang, Enum<?> reason) {
    if (!gang.isComplete()) {
      stopRun(step, gang, reason);
    }
  }

  private void stopRun(TrackedStep step, GangRun gang, Enum<?> reason) {
    if (closed || !gang.end()) {
      return;
    }
    metrics.gangStopped(reason);
    LOG.atInfo().log(
        "jobs: gang stopped job=%s step=%d run=%d members=%d present=%d ms=%d reason=%s",
        step.tasks().getFirst().name().job(),
        step.index(),
        gang.number(),
        gang.size(),
        gang.presentMembers(),
        ageMillis(gang),
        reason);
    step.tasks().stream()
        .filter(task -> task.worker().isPresent() && task.currentRun() == gang.number())
        .forEach(stopper);
  }

  private Optional<GangRun> current(TaskName task, int run) {
    return step(task).flatMap(TrackedStep::gangRun).filter(gang -> gang.number() == run);
  }

  private Optional<TrackedStep> step(TaskName task) {
    return jobs.task(task)
        .flatMap(known -> jobs.find(task.job()))
        .map(job -> job.steps().get(task.step()));
  }

  private long ageMillis(GangRun gang) {
    return timer.monotonicMillis() - gang.sinceMillis();
  }
}
