package org.vanillacove.state.placement;

import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;

/** One attempt of a task, with the capacity committed to it on a worker. */
final class RunningTask {
  /** Minimum remaining run time assumed for a task past its expected end, in milliseconds. */
  private static final long MIN_REMAINING_MILLIS = 1_000;

  /** Identifier of the task. */
  private final TaskId id;

  /** Job that the task belongs to. */
  private final Job job;

  /** Worker that runs the task. */
  private final WorkerState worker;

  /** Capacity committed to the task. */
  private final Resources committed;

  /** Time at which the attempt started, in milliseconds. */
  private final long startedAtMillis;

  /** 90th percentile of the run times of the family, as known at the start, in milliseconds. */
  private final long highRunMillis;

  /** Highest usage observed, by dimension. */
  private Resources peak = Resources.NONE;

  /** Usage beyond the committed capacity at the last observation. */
  private Resources overuse = Resources.NONE;

  /** Whether a stop was decided, in favour of another job or to restart the gang. */
  private boolean preempting;

  RunningTask(
      TaskId id,
      Job job,
      WorkerState worker,
      Resources committed,
      long startedAtMillis,
      long highRunMillis) {
    this.highRunMillis = highRunMillis;
    this.id = id;
    this.job = job;
    this.worker = worker;
    this.committed = committed;
    this.startedAtMillis = startedAtMillis;
  }

  TaskId id() {
    return id;
  }

  Job job() {
    return job;
  }

  WorkerState worker() {
    return worker;
  }

  Resources committed() {
    return committed;
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  /**
   * Returns the time at which the task is expected to have ended, in milliseconds.
   *
   * <p>A task past its expected end is assumed to run on for half of its run time so far.
   */
  long expectedEnd(long nowMillis) {
    long end = startedAtMillis + highRunMillis;
    if (highRunMillis >= UsageEstimator.OPEN_ENDED_MILLIS || end > nowMillis) {
      return end;
    }
    return nowMillis + Math.max(MIN_REMAINING_MILLIS, (nowMillis - startedAtMillis) / 2);
  }

  Resources peak() {
    return peak;
  }

  Resources overuse() {
    return overuse;
  }

  /** Records the resources currently in use. */
  void observe(Resources used) {
    peak =
        new Resources(
            Math.max(peak.cpuMillis(), used.cpuMillis()),
            Math.max(peak.memoryMib(), used.memoryMib()),
            Math.max(peak.accelerators(), used.accelerators()));
    overuse =
        new Resources(
            Math.max(0, used.cpuMillis() - committed.cpuMillis()),
            Math.max(0, used.memoryMib() - committed.memoryMib()),
            0);
  }

  boolean isPreempting() {
    return preempting;
  }

  void setPreempting(boolean preempting) {
    this.preempting = preempting;
  }
}
