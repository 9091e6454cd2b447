package org.vanillacove.state.cell;

import java.util.Optional;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskOutcome;

/**
 * A task as folded.
 *
 * @param attempt number of the newest attempt, zero before the first
 * @param workerId worker the newest attempt runs on, empty unless it runs
 * @param outcome how the newest attempt ended, empty while it runs or before the first
 * @param failures attempts that ended with a failure
 * @param settled whether the task will not be started again
 * @param mode order of record and command of the newest attempt
 */
public record TaskState(
    int attempt,
    Optional<String> workerId,
    Optional<TaskOutcome> outcome,
    int failures,
    boolean settled,
    StartMode mode) {
  /** A task that was never started. */
  public static final TaskState NEW =
      new TaskState(0, Optional.empty(), Optional.empty(), 0, false, StartMode.WRITE_AHEAD);

  /** Returns whether an attempt runs as far as the records say. */
  public boolean isRunning() {
    return workerId.isPresent();
  }

  /** Returns whether it waits for a start. */
  public boolean isPending() {
    return workerId.isEmpty() && !settled;
  }

  TaskState started(int newAttempt, String worker, StartMode newMode) {
    return new TaskState(
        newAttempt, Optional.of(worker), Optional.empty(), failures, false, newMode);
  }

  TaskState ended(TaskOutcome how, boolean nowSettled) {
    int failed = how == TaskOutcome.FAILED ? failures + 1 : failures;
    return new TaskState(attempt, Optional.empty(), Optional.of(how), failed, nowSettled, mode);
  }

  TaskState cancelled() {
    return new TaskState(
        attempt, workerId, Optional.of(TaskOutcome.CANCELLED), failures, true, mode);
  }
}
