package org.vanillacove.state.api;

import java.util.List;
import java.util.Optional;

/**
 * Decides which worker runs each task; deterministic, without clock or I/O, not thread-safe.
 *
 * <p>All times are milliseconds on one clock chosen by the caller.
 */
public interface Placer {
  /** Adds a worker or replaces its specification. */
  void addWorker(WorkerSpec worker);

  /** Changes the status of a worker; {@code LOST} removes it once all its tasks have ended. */
  void setWorkerStatus(String workerId, WorkerStatus status);

  /** Sets the policy and quotas for all later decisions. */
  void configure(PlacementSettings settings);

  /** Returns whether {@code spec} can ever run on the currently known workers. */
  Admission check(JobSpec spec);

  /** Queues all tasks of an accepted job. */
  void submit(String jobId, JobSpec spec, long nowMillis);

  /** Removes a job from the queue; its running tasks keep their capacity until they end. */
  void cancel(String jobId);

  /** Commits capacity to a task that already runs, when rebuilding from the cell state. */
  void restore(TaskId task, String workerId, long startedAtMillis);

  /** Frees the capacity of a task and queues the task again if it must be rerun. */
  void taskEnded(TaskId task, TaskOutcome outcome, long nowMillis);

  /** Records the measured resource usage of a running task. */
  void observeUsage(TaskId task, Resources used, long nowMillis);

  /** Decides at most {@code limit} starts and preemptions and commits capacity for them. */
  List<PlacementDecision> decide(long nowMillis, int limit);

  /** Returns the workers that are in quarantine or on probation after failures. */
  default List<WorkerHealth> unhealthyWorkers() {
    return List.of();
  }

  /** Restores the quarantine or probation of a worker when rebuilding from the cell state. */
  default void restoreHealth(WorkerHealth health, long nowMillis) {}

  /** Clears the recorded failures of a worker that an operator has reactivated. */
  default void clearFailures(String workerId) {}

  /** Explains why tasks of a job wait, empty if none of them does. */
  Optional<WaitReason> explain(String jobId, long nowMillis);
}
