package org.vanillacove.transport.operator.message;

import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/**
 * A job as shown to operators.
 *
 * @param jobId identifier of the job
 * @param name readable name
 * @param team team whose quota the job counts against
 * @param kind kind of workload
 * @param priority priority class, in lower case
 * @param state state of the job as a whole
 * @param acceptedAtMillis wall-clock time of acceptance, in milliseconds since the Unix epoch
 * @param taskCount declared number of tasks
 * @param running number of running tasks
 * @param ended number of tasks that will not be started again
 * @param cpuMillis declared CPU of one task, in thousandths of a core
 * @param memoryMib declared memory of one task, in mebibytes
 * @param accelerators declared accelerators of one task
 * @param waitingFor constraint that prevents tasks from starting
 * @param remedy change that would let them start
 * @param tasks the tasks, empty in lists of jobs
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
  /** Replaces an absent list by an empty one. */
  public JobMessage {
    tasks = tasks == null ? List.of() : List.copyOf(tasks);
  }

  /** State of a job as a whole. */
  public enum State {
    /** No task is running. */
    WAITING,

    /** Some tasks are running, others are waiting. */
    PARTLY_RUNNING,

    /** Every task that has not ended is running. */
    RUNNING,

    /** Cancelled, but some tasks have not ended. */
    CANCELLING,

    /** Cancelled, and every task has ended. */
    CANCELLED,

    /** Every task succeeded. */
    SUCCEEDED,

    /** Every task ended, and some did not succeed. */
    FAILED,

    /** Every task ended, some with an unknown outcome. */
    UNKNOWN;

    /** Returns whether the job can no longer change its state. */
    public boolean isFinal() {
      return this == CANCELLED || this == SUCCEEDED || this == FAILED || this == UNKNOWN;
    }
  }

  /**
   * A task of a job.
   *
   * @param index position in the job
   * @param attempt number of the newest attempt, zero before the first
   * @param workerId worker of the newest attempt
   * @param outcome outcome of the newest attempt, empty until it ends
   * @param ended whether the task will not be started again
   */
  public record TaskMessage(
      int index,
      int attempt,
      Optional<String> workerId,
      Optional<TaskOutcome> outcome,
      boolean ended) {}
}
