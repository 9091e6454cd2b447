package org.vanillacove.coordination.scheduling;

import java.util.Optional;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.cell.SettlementRule;

/** What the leader knows of a task beyond the folded state; changed by the scheduler only. */
final class TaskEntry {
  /** The task. */
  private final TaskId id;

  /** What its job declared. */
  private final JobSpec spec;

  /** Number of the newest attempt. */
  private int attempt;

  /** Worker of the newest attempt. */
  private String workerId;

  /** Where the newest attempt stands. */
  private Phase phase;

  /** Failed attempts. */
  private int failures;

  /** Whether it will not be started again. */
  private boolean settled;

  /** Records under way. */
  private int outstanding;

  /** Leader's monotonic time after which an inventory must show the attempt, in milliseconds. */
  private long confirmedAtMillis = Long.MAX_VALUE;

  /** Outcome to record once the worker has stopped it, empty if no stop is wanted. */
  private Optional<TaskOutcome> stopOutcome = Optional.empty();

  /** Whether a wanted stop is to write a checkpoint. */
  private boolean checkpoint;

  TaskEntry(TaskId id, JobSpec spec, int attempt, int failures, Phase phase, String workerId) {
    this.id = id;
    this.spec = spec;
    this.attempt = attempt;
    this.failures = failures;
    this.phase = phase;
    this.workerId = workerId;
  }

  /** Where an attempt stands. */
  enum Phase {
    /** No attempt runs and one may start. */
    PENDING,
    /** Placed, but an unknown worker could still run it. */
    HELD,
    /** The record or command of its start is under way. */
    STARTING,
    /** Runs as far as the leader knows. */
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

  boolean isOn(String worker, int number) {
    return isActive() && workerId.equals(worker) && attempt == number;
  }

  long confirmedAtMillis() {
    return confirmedAtMillis;
  }

  Optional<TaskOutcome> stopOutcome() {
    return stopOutcome;
  }

  boolean isCheckpoint() {
    return checkpoint;
  }

  /** Returns whether the folded state says as much as this entry. */
  boolean isIdle() {
    return outstanding == 0 && phase == Phase.PENDING;
  }

  void hold(String worker) {
    phase = Phase.HELD;
    workerId = worker;
  }

  void release() {
    phase = Phase.PENDING;
  }

  void begin(int number, String worker) {
    attempt = number;
    workerId = worker;
    phase = Phase.STARTING;
    confirmedAtMillis = Long.MAX_VALUE;
    stopOutcome = Optional.empty();
  }

  void confirm(long nowMillis) {
    phase = Phase.RUNNING;
    confirmedAtMillis = nowMillis;
  }

  void wantStop(TaskOutcome outcome, boolean withCheckpoint) {
    if (stopOutcome.isEmpty() || outcome == TaskOutcome.CANCELLED) {
      stopOutcome = Optional.of(outcome);
      checkpoint = withCheckpoint;
    }
  }

  void end(TaskOutcome outcome, boolean cancelled) {
    settled = cancelled || SettlementRule.isSettled(spec, outcome, failures);
    failures += outcome == TaskOutcome.FAILED ? 1 : 0;
    phase = Phase.PENDING;
    stopOutcome = Optional.empty();
  }

  void settle() {
    settled = true;
  }

  void addOutstanding(int change) {
    outstanding += change;
  }
}
