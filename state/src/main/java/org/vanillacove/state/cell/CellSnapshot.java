package org.vanillacove.state.cell;

import java.util.List;
import java.util.Map;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/**
 * The whole content of a {@link CellState}.
 *
 * @param nextOffset offset one past the newest folded record
 * @param epoch leadership epoch
 * @param leader leader of that epoch, empty text before the first claim
 * @param jobs jobs in order of acceptance
 * @param settledOrder settled jobs in the order in which they will be forgotten
 * @param forgottenJobs fingerprints of forgotten job identifiers, oldest first
 * @param workers workers by identifier
 * @param hosts agreed entry hosts by identifier
 * @param configurations kept configuration versions, oldest first and the newest whole
 * @param writers newest record of each writer, oldest first
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
   * A job.
   *
   * @param jobId identifier
   * @param spec what was declared
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
   * A worker.
   *
   * @param spec the worker
   * @param status whether it takes new tasks
   * @param reason why it has its status, empty if nobody said
   */
  public record Worker(WorkerSpec spec, WorkerStatus status, String reason) {}
}
