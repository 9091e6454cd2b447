package org.vanillacove.coordination.scheduling;

import java.util.Optional;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.cell.SettlementRule;

/**
 * Progress of a task on the leader that may be ahead of the cell state; modified by the scheduler.
 */
final class TaskEntry {
  /** Identifier of the task. */
  private final TaskId id;

  /** Specification of the job of the task. */
  private final JobSpec spec;

  /** Number of the newest attempt. */
  private int attempt;

  /** Worker of the newest attempt, empty text before the first. */
  private String workerId;

  /** Phase of the newest attempt. */
  private Phase phase;

  /** Number of failed attempts. */
  private int failures;

  /** Whether the task will not be started again. */
  private boolean settled;

  /** Number of written records whose outcome is not known yet. */
  private int outstandingRecords;

  /** Monotonic time in milliseconds; an inventory requested later must contain the attempt. */
  private long confirmedAtMillis = Long.MAX_VALUE;

  /** Outcome to record once the worker has stopped the attempt, empty if no stop is requested. */
  private Optional<TaskOutcome> stopOutcome = Optional.empty();

  /** Whether the requested stop writes a checkpoint. */
  private boolean checkpointOnStop;

  TaskEntry(TaskId id, JobSpec spec, int attempt, int failures, Phase phase, String workerId) {
    this.id = id;
    this.spec = spec;
    this.attempt = attempt;
    this.failures = failures;
    this.phase = phase;
    this.workerId = workerId;
  }

  /** Phase of the newest attempt of a task. */
  enum Phase {
    /** No attempt runs; one may start unless the task is settled. */
    PENDING,
    /** Placed, but a worker out of contact could still run the task. */
    HELD,
    /** The record or the command of the start is in progress. */
    STARTING,
    /** The attempt runs as far as the leader knows. */
    RUNNING
  }

  TaskId id() {
    return id;
  }

  JobSpec spec() {
    return spec;
  }

  int attempt() {
    return attempt;
  }

  String workerId() {
    return workerId;
  }

  Phase phase() {
    return phase;
  }

  boolean isSettled() {
    return settled;
  }

  boolean isPending() {
    return phase == Phase.PENDING && !settled;
  }

  boolean isActive() {
    return phase == Phase.STARTING || phase == Phase.RUNNING;
  }

  boolean isActiveOn(String worker, int number) {
    return isActive() && workerId.equals(worker) && attempt == number;
  }

  long confirmedAtMillis() {
    return confirmedAtMillis;
  }

  Optional<TaskOutcome> stopOutcome() {
    return stopOutcome;
  }

  boolean isCheckpointOnStop() {
    return checkpointOnStop;
  }

  /** Returns whether the entry holds nothing that is missing from the cell state. */
  boolean isIdle() {
    return outstandingRecords == 0 && phase == Phase.PENDING;
  }

  void place(String worker) {
    phase = Phase.HELD;
    workerId = worker;
  }

  void unplace() {
    phase = Phase.PENDING;
  }

  void beginAttempt(int number, String worker) {
    attempt = number;
    workerId = worker;
    phase = Phase.STARTING;
    confirmedAtMillis = Long.MAX_VALUE;
    stopOutcome = Optional.empty();
  }

  void markRunning(long nowMillis) {
    phase = Phase.RUNNING;
    confirmedAtMillis = nowMillis;
  }

  void requestStop(TaskOutcome outcome, boolean withCheckpoint) {
    if (stopOutcome.isEmpty() || outcome == TaskOutcome.CANCELLED) {
      stopOutcome = Optional.of(outcome);
      checkpointOnStop = withCheckpoint;
    }
  }

  void endAttempt(TaskOutcome outcome, boolean cancelled) {
    settled = cancelled || SettlementRule.isSettled(spec, outcome, failures);
    failures += outcome == TaskOutcome.FAILED ? 1 : 0;
    phase = Phase.PENDING;
    stopOutcome = Optional.empty();
  }

  void markSettled() {
    settled = true;
  }

  void addOutstandingRecords(int change) {
    outstandingRecords += change;
  }
}
