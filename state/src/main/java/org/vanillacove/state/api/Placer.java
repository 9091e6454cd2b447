package org.vanillacove.state.api;

import java.util.List;
import java.util.Optional;

/**
 * Decides where tasks run; deterministic, without clock or I/O, not thread-safe.
 *
 * <p>Times are milliseconds on one scale that the caller chooses.
 */
public interface Placer {
  /** Adds a worker or replaces its shape. */
  void addWorker(WorkerSpec worker);

  /** Changes the status of a worker; {@code LOST} removes it once its tasks have been ended. */
  void setWorkerStatus(String workerId, WorkerStatus status);

  /** Sets policy values and quotas for all later decisions. */
  void configure(PlacementSettings settings);

  /** Returns whether {@code spec} can ever run on the workers known now. */
  Admission check(JobSpec spec);

  /** Queues all tasks of a job that has been accepted. */
  void submit(String jobId, JobSpec spec, long nowMillis);

  /** Takes a job out of the queue; its running tasks stay until they are ended. */
  void cancel(String jobId);

  /** Commits capacity to a task that already runs, for rebuilding from a folded state. */
  void restore(TaskId task, String workerId, long startedAtMillis);

  /** Frees what a task held and queues it again if its job needs that. */
  void taskEnded(TaskId task, TaskOutcome outcome, long nowMillis);

  /** Takes note of the resources that a running task was seen to use. */
  void observeUsage(TaskId task, Resources used, long nowMillis);

  /** Decides at most {@code limit} starts and preemptions and commits capacity for them. */
  List<PlacementDecision> decide(long nowMillis, int limit);

  /** Returns the workers that failures have put in quarantine or on probation. */
  default List<WorkerHealth> unhealthyWorkers() {
    return List.of();
  }

  /** Puts a worker in quarantine or on probation anew, for rebuilding from a folded state. */
  default void restoreHealth(WorkerHealth health, long nowMillis) {}

  /** Forgets failures of a worker that an operator has put to use. */
  default void trust(String workerId) {}

  /** Explains why a job waits, empty if none of its tasks does. */
  Optional<WaitReason> explain(String jobId, long nowMillis);
}
