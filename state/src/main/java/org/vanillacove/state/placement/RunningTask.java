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

  boolean isPreempting() {
    return preempting;
  }

  void markPreempting() {
    preempting = true;
  }
}
