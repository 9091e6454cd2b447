package org.vanillacove.coordination.work;

import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.state.api.Resources;

/** A run that holds room on a worker, from its order until the worker says that it ended. */
final class TaskRun {
  /** The task. */
  private final TaskName task;

  /** Number of the run. */
  private final int number;

  /** Room that it holds. */
  private final Resources demand;

  /** How far it is. */
  private Phase phase;

  /** Monotonic time of the answer that settled the phase, in milliseconds. */
  private long answeredMillis = Long.MAX_VALUE;

  /** Share of its work that the worker reported last. */
  private int percent = -1;

  /** Monotonic time at which that share last changed, in milliseconds. */
  private long progressMillis;

  /** Creates a run in {@code phase}. */
  TaskRun(TaskName task, int number, Resources demand, Phase phase) {
    this.task = task;
    this.number = number;
    this.demand = demand;
    this.phase = phase;
  }

  /** How far a run is. */
  enum Phase {
    /** The start was ordered and has not been answered. */
    ORDERED,
    /** The worker has started it. */
    RUNNING,
    /** A stop was ordered; the start may never have come. */
    STOPPING
  }

  /** Names a run on a worker. */
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

  Phase phase() {
    return phase;
  }

  void running(long nowMillis) {
    phase = Phase.RUNNING;
    answeredMillis = nowMillis;
  }

  void stopping() {
    phase = Phase.STOPPING;
    answeredMillis = Long.MAX_VALUE;
  }

  /** Notes that the stop was answered; the run ends, or never comes. */
  void stopAnswered(long nowMillis) {
    answeredMillis = Math.min(answeredMillis, nowMillis);
  }

  boolean isStopAnswered() {
    return phase == Phase.STOPPING && answeredMillis != Long.MAX_VALUE;
  }

  /** Takes the share of work done; returns the time for which it has not changed. */
  long stalledMillis(int newPercent, long nowMillis) {
    if (newPercent != percent) {
      percent = newPercent;
      progressMillis = nowMillis;
    }
    return nowMillis - progressMillis;
  }

  /** Returns whether a list asked for at {@code sentMillis} must show the run if it exists. */
  boolean isSettledBefore(long sentMillis) {
    return phase != Phase.ORDERED && answeredMillis < sentMillis;
  }
}
