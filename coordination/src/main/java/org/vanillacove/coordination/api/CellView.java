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

/** Read access to the folded cell state; every call sees one consistent state. */
public interface CellView {
  /** Returns all jobs that are not forgotten yet, in order of acceptance. */
  List<JobView> jobs();

  /** Returns one job. */
  Optional<JobView> job(String jobId);

  /** Returns all workers, by identifier. */
  List<WorkerView> workers();

  /** Returns the state of the cell as a whole. */
  CellStatus status();

  /** Returns the version of the configuration in force, zero before the first. */
  long configurationVersion();

  /** Returns the configuration versions that are still kept, oldest first. */
  List<ConfigurationVersion> configurationHistory();

  /** Hands the kept configuration versions to {@code visitor} one by one, newest first. */
  default void visitConfigurations(Consumer<ConfigurationVersion> visitor) {
    configurationHistory().reversed().forEach(visitor);
  }

  /** Returns one configuration version if it is still kept. */
  default Optional<ConfigurationVersion> configuration(long version) {
    return configurationHistory().stream().filter(kept -> kept.version() == version).findFirst();
  }

  /** Returns the configuration version in force on each member that is reachable. */
  Map<String, Long> versionsInForce();

  /**
   * One configuration version.
   *
   * @param version version, the log offset of its record
   * @param document the document as JSON
   * @param author who made the change
   * @param reason why
   */
  record ConfigurationVersion(long version, String document, String author, String reason) {}

  /**
   * A job with its tasks.
   *
   * @param jobId identifier
   * @param spec what was declared
   * @param acceptedAtMillis wall time of acceptance in milliseconds since the Unix epoch
   * @param cancelled whether it was cancelled
   * @param tasks its tasks by index
   * @param waiting why it waits, empty if no task does or this host does not lead
   */
  record JobView(
      String jobId,
      JobSpec spec,
      long acceptedAtMillis,
      boolean cancelled,
      List<TaskView> tasks,
      Optional<WaitReason> waiting) {
    /** Copies the tasks. */
    public JobView {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * A task.
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
   * A worker.
   *
   * @param spec the worker
   * @param status whether it takes new tasks
   * @param reason why it has its status, empty if nobody said
   * @param committed resources committed to running tasks
   * @param runningTasks number of running tasks
   */
  record WorkerView(
      WorkerSpec spec, WorkerStatus status, String reason, Resources committed, int runningTasks) {}

  /**
   * State of the cell as a whole.
   *
   * @param epoch leadership epoch
   * @param leader identifier of the leader, empty before the first claim
   * @param foldedOffset offset one past the newest folded record
   * @param hosts agreed membership
   * @param logReachable whether the newest read of the log succeeded
   */
  record CellStatus(
      long epoch,
      Optional<String> leader,
      long foldedOffset,
      List<HostSpec> hosts,
      boolean logReachable) {
    /** Copies the hosts. */
    public CellStatus {
      hosts = List.copyOf(hosts);
    }
  }
}
