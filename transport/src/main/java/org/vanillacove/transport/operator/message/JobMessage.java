package org.vanillacove.transport.operator.message;

import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/**
 * A job.
 *
 * @param jobId identifier
 * @param name readable name
 * @param team team that is charged
 * @param kind kind of workload
 * @param priority priority class, in lower case
 * @param state state of the job as a whole
 * @param acceptedAtMillis wall time of acceptance in milliseconds since the Unix epoch
 * @param taskCount declared tasks
 * @param running tasks that run
 * @param ended tasks that will not be started again
 * @param cpuMillis declared processor of one task in thousandths of a core
 * @param memoryMib declared memory of one task in mebibytes
 * @param accelerators declared accelerators of one task
 * @param waitingFor constraint that holds tasks back
 * @param remedy what would free them
 * @param tasks the tasks, none in lists of jobs
 */
public record JobMessage(
    String jobId,
    String name,
    String team,
    WorkloadKind kind,
    String priority,
    State state,
    long acceptedAtMillis,
    int taskCount,
    int running,
    int ended,
    long cpuMillis,
    long memoryMib,
    int accelerators,
    Optional<String> waitingFor,
    Optional<String> remedy,
    List<TaskMessage> tasks) {
  /** Fills in what is left out. */
  public JobMessage {
    tasks = tasks == null ? List.of() : List.copyOf(tasks);
  }

  /** State of a job as a whole. */
  public enum State {
    /** No task runs yet or again. */
    WAITING,

    /** Some tasks run, others wait. */
    PARTLY_RUNNING,

    /** Every task that has not ended runs. */
    RUNNING,

    /** Cancelled, but tasks have not all ended. */
    CANCELLING,

    /** Cancelled, and every task has ended. */
    CANCELLED,

    /** Every task succeeded. */
    SUCCEEDED,

    /** Every task ended, some without success. */
    FAILED,

    /** Every task ended, for some it is not known how. */
    UNKNOWN;

    /** Returns whether the job will not change any more. */
    public boolean isFinal() {
      return this == CANCELLED || this == SUCCEEDED || this == FAILED || this == UNKNOWN;
    }
  }

  /**
   * A task of a job.
   *
   * @param index position in the job
   * @param attempt number of the newest attempt, zero before the first
   * @param workerId worker the newest attempt runs on
   * @param outcome how the newest attempt ended
   * @param ended whether it will not be started again
   */
  public record TaskMessage(
      int index,
      int attempt,
      Optional<String> workerId,
      Optional<TaskOutcome> outcome,
      boolean ended) {}
}
