package org.vanillacove.coordination.work;

import org.vanillacove.state.work.OverrunPolicy;

/**
 * Whether the runs of a worker move. A worker on which runs stand still and none moves is suspect;
 * a single long run among moving ones is not.
 */
final class WorkerHistory {
  /** Number of consecutive failed runs after which new starts are paused. */
  private static final int MAX_CONSECUTIVE_FAILURES = 3;

  /** Number of consecutive failed runs. */
  private int consecutiveFailures;

  /** Worker's clock at the last progress of any run, in milliseconds; -1 before. */
  private long movedClockMillis = -1;

  /** Worker's clock at which a run below 100 percent stood still last; -1 before. */
  private long stoodClockMillis = -1;

  /** Takes over the progress of a run in a report made at {@code clockMillis}. */
  void update(TaskRun run, long clockMillis) {
    if (run.hasProgressed() && run.stillMillis() == 0) {
      movedClockMillis = clockMillis;
    } else if (run.percent() < OverrunPolicy.FULL_PERCENT
        && run.stillMillis() > run.stallTimeoutMillis()) {
      stoodClockMillis = clockMillis;
    }
  }

  /** Counts a run that ended by itself; returns whether the worker fails runs in a row. */
  boolean countResult(boolean failed, long clockMillis) {
    consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
    movedClockMillis = clockMillis;
    return consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  }

  /** Returns whether runs on the worker stand still and none has moved since. */
  boolean standsStill() {
    return stoodClockMillis > movedClockMillis;
  }

  /** Forgets what was seen of a former incarnation; the worker's clock begins anew, too. */
  void reset() {
    consecutiveFailures = 0;
    movedClockMillis = -1;
    stoodClockMillis = -1;
  }
}
