package org.vanillacove.state.locality;

import java.util.OptionalLong;

/**
 * Decides whether a step waits for a place near its data or its group, or starts elsewhere at once.
 * Answers the load in which near workers are full while others are free: a wait pays while the
 * expected time to a near place is shorter than what a distant run takes longer. The forecast may
 * be wrong, so the whole wait is bounded by the same amount, which costs at most twice the better
 * choice. A step that would miss its objective by waiting, but not by starting elsewhere, starts.
 */
public final class PlaceWaitPolicy {
  /** Maximum wait for a near place in milliseconds, however long the runs are. */
  private static final long MAX_WAIT_MILLIS = 10_000;

  private PlaceWaitPolicy() {}

  /**
   * What is known of a step that could start elsewhere now.
   *
   * @param runMillis expected run time near the data or the group, in milliseconds
   * @param remoteFactor factor on the run time elsewhere; 1 or less if the place does not matter
   * @param waitedMillis time since a place elsewhere was declined first, in milliseconds
   * @param nearInMillis forecast of the time to a near place in milliseconds; empty if there will
   *     be none
   * @param slackMillis time that the step may still be delayed, including a longer run, without
   *     missing the objective of its job, in milliseconds; negative if it is late
   */
  public record View(
      long runMillis,
      double remoteFactor,
      long waitedMillis,
      OptionalLong nearInMillis,
      long slackMillis) {
    /** Returns the time that a run elsewhere takes longer, in milliseconds. */
    public long penaltyMillis() {
      return Math.max(0, Math.round(runMillis * (remoteFactor - 1)));
    }
  }

  /** Returns whether the step waits for a near place instead of starting elsewhere. */
  public static boolean waits(View view) {
    if (view.nearInMillis().isEmpty()) {
      return false;
    }
    long near = view.nearInMillis().getAsLong();
    long penalty = view.penaltyMillis();
    if (near >= penalty || view.waitedMillis() + near > Math.min(penalty, MAX_WAIT_MILLIS)) {
      return false;
    }
    boolean missesByWaiting = near > view.slackMillis();
    boolean missesElsewhere = penalty > view.slackMillis();
    return !missesByWaiting || missesElsewhere;
  }
}
