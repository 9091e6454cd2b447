package org.vanillacove.state.cell;

import java.util.List;
import java.util.Map;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/**
 * The complete content of a {@link CellState}, from which it can be restored.
 *
 * @param nextOffset offset one past the newest applied record
 * @param epoch leadership epoch
 * @param leader leader of that epoch, empty text before the first claim
 * @param jobs jobs in order of acceptance
 * @param settledOrder identifiers of settled jobs, next to be dropped first
 * @param forgottenJobs fingerprints of the identifiers of dropped jobs, oldest first
 * @param workers workers ordered by identifier
 * @param hosts member entry hosts ordered by identifier
 * @param configurations retained configuration versions, oldest first; the newest holds its full
 *     document
 * @param writers newest record of each writer, least recent first
 */
public record CellSnapshot(
    long nextOffset,
    long epoch,
    String leader,
    List<Job> jobs,
    List<String> settledOrder,
    List<Long> forgottenJobs,
    List<Worker> workers,
    List<HostSpec> hosts,
    List<ConfigurationDelta> configurations,
    Map<String, WriterPosition> writers) {

  /**
   * A job with its tasks.
   *
   * @param jobId identifier of the job
   * @param spec the job as the caller declared it
   * @param acceptedAtMillis wall time of acceptance in milliseconds since the Unix epoch
   * @param acceptedOffset offset of the record that accepted it
   * @param cancelled whether it was cancelled
   * @param tasks tasks by index
   */
  public record Job(
      String jobId,
      JobSpec spec,
      long acceptedAtMillis,
      long acceptedOffset,
      boolean cancelled,
      List<TaskState> tasks) {}

  /**
   * A worker with its status.
   *
   * @param spec the worker with its capacity and labels
   * @param status whether new tasks may be started on it
   * @param reason reason of the status, empty if none was given
   */
  public record Worker(WorkerSpec spec, WorkerStatus status, String reason) {}
}
