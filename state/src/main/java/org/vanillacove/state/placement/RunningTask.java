package org.vanillacove.state.placement;

import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;

/** A task that holds capacity of a worker. */
final class RunningTask {
  /** Shortest time left that is expected of a task that ran for longer than expected. */
  private static final long MIN_LEFT_MILLIS = 1_000;

  /** The task. */
  private final TaskId id;

  /** Job of the task. */
  private final Job job;

  /** Worker whose capacity it holds. */
  private final WorkerState worker;

  /** Capacity it holds. */
  private final Resources committed;

  /** Time of the start in milliseconds. */
  private final long startedAtMillis;

  /** Run time that nine tasks in ten of the family did not pass at the start, in milliseconds. */
  private final long highRunMillis;

  /** Highest use seen. */
  private Resources peak = Resources.NONE;

  /** Last use seen beyond what is held. */
  private Resources overuse = Resources.NONE;

  /** Whether a stop in favour of other work was decided. */
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

  /** Returns the time at which the task is expected to have ended, in milliseconds. */
  long expectedEnd(long nowMillis) {
    long end = startedAtMillis + highRunMillis;
    if (highRunMillis >= UsageEstimator.OPEN_ENDED_MILLIS || end > nowMillis) {
      return end;
    }
    return nowMillis + Math.max(MIN_LEFT_MILLIS, (nowMillis - startedAtMillis) / 2);
  }

  Resources peak() {
    return peak;
  }

  Resources overuse() {
    return overuse;
  }

  /** Takes note of the resources in use now. */
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
