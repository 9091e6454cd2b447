package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import org.vanillacove.state.estimate.SpeedEstimate;
import org.vanillacove.state.work.OverrunPolicy;

/**
 * Whether the runs of a worker move. A worker on which runs stand still and none moves is suspect;
 * a single long run among moving ones is not.
 */
final class WorkerHistory {
  /** Number of consecutive failed runs after which new starts are paused. */
  private static final int MAX_CONSECUTIVE_FAILURES = 3;

  /** Logs noticeable changes of the speed (prefix {@code workers:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Relative change of the speed that is logged. */
  private static final double LOGGED_DIFFERENCE = 0.25;

  /** Identifier of the worker. */
  private final String worker;

  /** Speed of the runs; stays with the machine when its worker restarts. */
  private final SpeedEstimate speed = new SpeedEstimate();

  /** Speed that was logged last. */
  private double loggedSpeed = 1;

  /** Number of consecutive failed runs. */
  private int consecutiveFailures;

  /** Worker's clock at the last progress of any run, in milliseconds; -1 before. */
  private long movedClockMillis = -1;

  /** Worker's clock at which a run below 100 percent stood still last; -1 before. */
  private long stoodClockMillis = -1;

  /** Creates a history without runs. */
  WorkerHistory(String worker) {
    this.worker = worker;
  }

  /** Takes over the progress of a run in a report made at {@code clockMillis}. */
  void update(TaskRun run, long clockMillis) {
    run.measuredSpeed().ifPresent(this::speedMeasured);
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

  /** Returns the estimated speed relative to declared run times; 1 if nothing is known. */
  double speed() {
    return speed.speed();
  }

  private void speedMeasured(double measured) {
    speed.observe(measured);
    if (Math.abs(speed() - loggedSpeed) > LOGGED_DIFFERENCE * loggedSpeed) {
      LOG.atInfo().log("workers: speed worker=%s speed=%.2f", worker, speed());
      loggedSpeed = speed();
    }
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
