package org.vanillacove.state.placement;

import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;

/** A task that holds capacity of a worker. */
final class RunningTask {
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

  /** Highest use seen. */
  private Resources peak = Resources.NONE;

  /** Last use seen beyond what is held. */
  private Resources overuse = Resources.NONE;

  /** Whether a stop in favour of other work was decided. */
  private boolean preempting;

  RunningTask(TaskId id, Job job, WorkerState worker, Resources committed, long startedAtMillis) {
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
