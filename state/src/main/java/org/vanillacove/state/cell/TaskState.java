package org.vanillacove.state.cell;

import java.util.Optional;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskOutcome;

/**
 * State of a task as of the newest applied record.
 *
 * @param attempt number of the newest attempt, zero before the first
 * @param workerId worker that runs the newest attempt, empty if no attempt runs
 * @param outcome how the newest attempt ended, empty while it runs or before the first
 * @param failures number of attempts that ended with a failure
 * @param settled whether the task will not be started again
 * @param mode whether the newest attempt was recorded before or after its start command
 */
public record TaskState(
    int attempt,
    Optional<String> workerId,
    Optional<TaskOutcome> outcome,
    int failures,
    boolean settled,
    StartMode mode) {
  /** State of a task that was never started. */
  public static final TaskState NEW =
      new TaskState(0, Optional.empty(), Optional.empty(), 0, false, StartMode.WRITE_AHEAD);

  /** Returns whether an attempt runs according to the applied records. */
  public boolean isRunning() {
    return workerId.isPresent();
  }

  /** Returns whether the task waits to be started. */
  public boolean isPending() {
    return workerId.isEmpty() && !settled;
  }

  TaskState started(int newAttempt, String worker, StartMode newMode) {
    return new TaskState(
        newAttempt, Optional.of(worker), Optional.empty(), failures, false, newMode);
  }

  TaskState ended(TaskOutcome result, boolean nowSettled) {
    int failed = result == TaskOutcome.FAILED ? failures + 1 : failures;
    return new TaskState(attempt, Optional.empty(), Optional.of(result), failed, nowSettled, mode);
  }

  TaskState cancelled() {
    return new TaskState(
        attempt, workerId, Optional.of(TaskOutcome.CANCELLED), failures, true, mode);
  }
}
