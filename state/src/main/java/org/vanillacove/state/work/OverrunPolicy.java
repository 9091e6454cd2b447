package org.vanillacove.state.work;

import org.vanillacove.state.estimate.RunTimeRatios;

/**
 * Decides whether a run at 100 percent that shows no progress is stopped. The load that it answers:
 * gangs on workers of unlike speed, whose fast members stay at 100 percent until the slowest one is
 * done, and run times with a heavy tail. Stopping such runs throws away their work and doesn't
 * shorten them, as the work of a task stays the same. So a run is only stopped if it probably
 * stands still: on a worker where other runs stand still and none moves, or if it lasts longer than
 * observed runs do.
 */
public final class OverrunPolicy {
  /** Percentage from which on a report doesn't show progress any more. */
  public static final int FULL_PERCENT = 100;

  /**
   * Odds that a run stands still although nothing else on its worker shows it: one of the runs that
   * workers hold at once in a large cell.
   */
  private static final double STANDING_ODDS = 1e-4;

  /** Time that a standing run is expected to hold its job up if it isn't stopped. */
  private static final double STANDING_MILLIS = 20_000;

  /** The same time in declared run times, if that is longer. */
  private static final double STANDING_RATIO = 10;

  private OverrunPolicy() {}

  /** Reason why a run at 100 percent continues or is stopped. */
  public enum Verdict {
    /** The run is probably just long. */
    CONTINUE,
    /** Other runs on the worker stand still and none moves. */
    WORKER_STANDS,
    /** The run lasts longer than observed runs of its kind. */
    IMPLAUSIBLE;

    /** Returns whether the run is to be stopped. */
    public boolean stops() {
      return this != CONTINUE;
    }
  }

  /**
   * What is known of a run at 100 percent.
   *
   * @param declaredMillis declared run time
   * @param stillMillis time since the last sign of progress of the run or, for a gang, of any of
   *     its members
   * @param checkpoints whether a rerun resumes from a checkpoint, so that only the work since the
   *     last sign of progress is lost
   * @param workerStands whether other runs on the worker stand still and none has moved since
   */
  public record View(
      long declaredMillis, long stillMillis, boolean checkpoints, boolean workerStands) {}

  /** Returns whether the run continues, with the reason to stop it if not. */
  public static Verdict judge(View view, RunTimeRatios ratios) {
    if (view.workerStands()) {
      return Verdict.WORKER_STANDS;
    }
    double declared = Math.max(1, view.declaredMillis());
    double still = view.stillMillis() / declared;
    double elapsed = 1 + still;
    double standing = Math.max(STANDING_MILLIS / declared, STANDING_RATIO);
    double gain = STANDING_ODDS * Math.max(0, standing - ratios.mean());
    double loss = ratios.shareAbove(elapsed) * (view.checkpoints() ? still : elapsed);
    return gain > loss ? Verdict.IMPLAUSIBLE : Verdict.CONTINUE;
  }
}
