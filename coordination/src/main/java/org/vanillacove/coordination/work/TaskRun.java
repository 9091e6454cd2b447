package org.vanillacove.coordination.work;

import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.state.api.Resources;

/** A run that uses capacity of a worker, from the start command until its end is reported. */
final class TaskRun {
  /** Task that is run. */
  private final TaskName task;

  /** Run number; a later run of the task has a higher one. */
  private final int number;

  /** Resources that the run uses. */
  private final Resources demand;

  /** Time without progress after which the run counts as stalled, in milliseconds. */
  private final long stallTimeoutMillis;

  /** Phase of the run as known from commands and reports. */
  private Phase phase;

  /** Monotonic time in milliseconds of the response that confirmed the phase; MAX_VALUE before. */
  private long answeredMillis = Long.MAX_VALUE;

  /** Percentage of completed work in the last report; -1 before the first report. */
  private int percent = -1;

  /** Worker's clock in the first report with this percentage, in milliseconds. */
  private long progressClockMillis;

  /** Whether the percentage differed between two reports. */
  private boolean progressed;

  /** Creates a run in {@code phase}. */
  TaskRun(TaskName task, int number, Resources demand, long stallTimeoutMillis, Phase phase) {
    this.task = task;
    this.number = number;
    this.demand = demand;
    this.stallTimeoutMillis = stallTimeoutMillis;
    this.phase = phase;
  }

  /** Phase of a run; printed by name in logs and metrics. */
  enum Phase {
    /** The start command was sent and its outcome isn't known. */
    ORDERED,
    /** The worker has started the run. */
    RUNNING,
    /** A stop command was sent; the start command may never have arrived. */
    STOPPING
  }

  /** Identifies a run on a worker. */
  record Key(TaskName task, int number) {}

  Key key() {
    return new Key(task, number);
  }

  TaskName task() {
    return task;
  }

  int number() {
    return number;
  }

  Resources demand() {
    return demand;
  }

  long stallTimeoutMillis() {
    return stallTimeoutMillis;
  }

  Phase phase() {
    return phase;
  }

  void markRunning(long nowMillis) {
    phase = Phase.RUNNING;
    answeredMillis = nowMillis;
  }

  void markStopping() {
    phase = Phase.STOPPING;
    answeredMillis = Long.MAX_VALUE;
  }

  /** Records that the worker confirmed the stop: the run ends or will never start. */
  void markStopAnswered(long nowMillis) {
    answeredMillis = Math.min(answeredMillis, nowMillis);
  }

  boolean isStopAnswered() {
    return phase == Phase.STOPPING && answeredMillis != Long.MAX_VALUE;
  }

  /**
   * Updates the percentage of completed work; returns for how long it hasn't changed.
   *
   * @param newPercent percentage in a report
   * @param clockMillis worker's clock in that report, so that a late report doesn't look like a
   *     stalled run
   */
  long updateProgress(int newPercent, long clockMillis) {
    if (newPercent != percent) {
      progressed = percent >= 0;
      percent = newPercent;
      progressClockMillis = clockMillis;
    }
    return clockMillis - progressClockMillis;
  }

  /** Returns the share of the work that is done by the last report, 0 before the first one. */
  double doneShare() {
    return Math.clamp(percent / 100.0, 0, 1);
  }

  boolean hasProgressed() {
    return progressed;
  }

  /** Returns whether a report requested at {@code sentMillis} must list the run if it exists. */
  boolean isSettledBefore(long sentMillis) {
    return phase != Phase.ORDERED && answeredMillis < sentMillis;
  }
}
