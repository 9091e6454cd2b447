package org.vanillacove.coordination.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** Read access to the cell state; every call sees one consistent state. */
public interface CellView {
  /** Returns all jobs that are still stored, in order of acceptance. */
  List<JobView> jobs();

  /** Returns a job with its tasks, empty if it is unknown or no longer stored. */
  Optional<JobView> job(String jobId);

  /** Returns all workers, by identifier. */
  List<WorkerView> workers();

  /** Returns the leader, the membership and the progress of applying the log. */
  CellStatus status();

  /** Returns the version of the configuration in force, zero before the first. */
  long configurationVersion();

  /** Returns the configuration versions that are still stored, oldest first. */
  List<ConfigurationVersion> configurationHistory();

  /** Passes the stored configuration versions to {@code visitor} one by one, newest first. */
  default void visitConfigurations(Consumer<ConfigurationVersion> visitor) {
    configurationHistory().reversed().forEach(visitor);
  }

  /** Returns a configuration version, empty if it is no longer stored. */
  default Optional<ConfigurationVersion> configuration(long version) {
    return configurationHistory().stream()
        .filter(stored -> stored.version() == version)
        .findFirst();
  }

  /** Returns the configuration version in force on each reachable member, by host identifier. */
  Map<String, Long> versionsInForce();

  /**
   * A stored configuration version.
   *
   * @param version version, the log offset of its record
   * @param document the document as JSON
   * @param author who made the change
   * @param reason why the change was made
   */
  record ConfigurationVersion(long version, String document, String author, String reason) {}

  /**
   * A job with its tasks.
   *
   * @param jobId identifier
   * @param spec specification as submitted
   * @param acceptedAtMillis wall time of acceptance in milliseconds since the Unix epoch
   * @param cancelled whether its cancellation is in the log
   * @param tasks its tasks, ordered by index
   * @param waiting why it waits, empty if no task does or this host does not lead
   */
  record JobView(
      String jobId,
      JobSpec spec,
      long acceptedAtMillis,
      boolean cancelled,
      List<TaskView> tasks,
      Optional<WaitReason> waiting) {
    /** Makes the list of tasks immutable. */
    public JobView {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * A task with its newest attempt.
   *
   * @param index position in the job
   * @param attempt number of the newest attempt, zero before the first
   * @param workerId worker the newest attempt runs on, empty unless running
   * @param outcome how the newest attempt ended, empty while it runs or before the first
   * @param settled whether the task will not be started again
   */
  record TaskView(
      int index,
      int attempt,
      Optional<String> workerId,
      Optional<TaskOutcome> outcome,
      boolean settled) {}

  /**
   * A worker with its status and load.
   *
   * @param spec identity, availability zone and capacity
   * @param status whether it accepts new tasks
   * @param reason why it has its status, empty if none was given
   * @param committed resources committed to running tasks
   * @param runningTasks number of running tasks
   */
  record WorkerView(
      WorkerSpec spec, WorkerStatus status, String reason, Resources committed, int runningTasks) {}

  /**
   * Leadership, membership and log progress, as this host sees them.
   *
   * @param epoch leadership epoch
   * @param leader identifier of the leader, empty before the first claim
   * @param foldedOffset offset one past the newest applied record
   * @param hosts entry hosts of the agreed membership
   * @param logReachable whether the newest read of the log succeeded
   */
  record CellStatus(
      long epoch,
      Optional<String> leader,
      long foldedOffset,
      List<HostSpec> hosts,
      boolean logReachable) {
    /** Makes the list of hosts immutable. */
    public CellStatus {
      hosts = List.copyOf(hosts);
    }
  }
}
