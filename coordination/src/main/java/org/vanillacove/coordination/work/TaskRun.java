package org.vanillacove.coordination.work;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient.CurrentRun;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.OverrunPolicy;

/** A run that uses capacity of a worker, from the start command until its end is reported. */
final class TaskRun {
  /** Minimum rise of the percentage from which a speed is computed; reports have whole percents. */
  private static final int MIN_MEASURED_PERCENT = 20;

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

  /** Percentage of completed work in the last report, up to 100; -1 before the first report. */
  private int percent = -1;

  /** Checkpoint in the last report; empty before the first one. */
  private String checkpoint = "";

  /** Worker's clock in the first report with this percentage and checkpoint, in milliseconds. */
  private long progressClockMillis;

  /** Worker's clock in the last report, in milliseconds. */
  private long reportClockMillis;

  /** Monotonic time in milliseconds since which the run works; the latest with nothing done. */
  private long workingSinceMillis;

  /** Whether this leader started the run without a checkpoint, so that its length is known. */
  private boolean measured;

  /** Declared run time by which the speed is measured, in milliseconds; 0 unless it is to be. */
  private long declaredMillis;

  /** Percentage at the begin of the measurement of speed; 0 before it. */
  private int measuredPercent;

  /** Worker's clock at the begin of that measurement, in milliseconds. */
  private long measuredClockMillis;

  /** Whether it was logged that the run lasts longer than declared. */
  private boolean overdue;

  /** Whether the percentage or the checkpoint differed between two reports. */
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
    workingSinceMillis = nowMillis;
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
   * Updates the percentage of completed work and the checkpoint; returns for how long neither has
   * changed.
   *
   * @param reported entry of the run in a report
   * @param clockMillis worker's clock in that report, so that a late report doesn't look like a
   *     stalled run
   * @param nowMillis monotonic time of that report
   */
  long updateProgress(CurrentRun reported, long clockMillis, long nowMillis) {
    if (reported.percent() != percent || !reported.checkpoint().equals(checkpoint)) {
      progressed = percent >= 0;
      percent = reported.percent();
      checkpoint = reported.checkpoint();
      progressClockMillis = clockMillis;
    }
    if (percent <= 0) {
      workingSinceMillis = nowMillis;
    }
    reportClockMillis = clockMillis;
    return stillMillis();
  }

  /** Returns the time between the last progress and the last report, in milliseconds. */
  long stillMillis() {
    return reportClockMillis - progressClockMillis;
  }

  int percent() {
    return percent;
  }

  /** Records that this leader starts the run from nothing. */
  void markMeasured() {
    measured = true;
  }

  /** Sets the declared run time of a run whose progress shows the speed of its worker. */
  void measureSpeed(long declared) {
    declaredMillis = declared;
  }

  /** Returns the speed of the run, once when enough was done to tell it. */
  OptionalDouble measuredSpeed() {
    if (declaredMillis <= 0 || percent <= 0 || percent >= OverrunPolicy.FULL_PERCENT) {
      return OptionalDouble.empty();
    }
    if (measuredPercent == 0) {
      measuredPercent = percent;
      measuredClockMillis = reportClockMillis;
    }
    int done = percent - measuredPercent;
    long millis = reportClockMillis - measuredClockMillis;
    if (done < MIN_MEASURED_PERCENT || millis <= 0) {
      return OptionalDouble.empty();
    }
    double worked = (double) done / OverrunPolicy.FULL_PERCENT * declaredMillis;
    declaredMillis = 0;
    return OptionalDouble.of(worked / millis);
  }

  /** Returns the time for which the run has worked, or empty if its start isn't known. */
  OptionalLong workedMillis(long nowMillis) {
    return measured && phase == Phase.RUNNING
        ? OptionalLong.of(nowMillis - workingSinceMillis)
        : OptionalLong.empty();
  }

  /** Records that the run lasts longer than declared; returns whether that is new. */
  boolean markOverdue() {
    boolean first = !overdue;
    overdue = true;
    return first;
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
