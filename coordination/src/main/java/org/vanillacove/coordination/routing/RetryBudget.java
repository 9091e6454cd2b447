package org.vanillacove.coordination.routing;

import java.util.function.IntSupplier;

/**
 * Allows retries as a share of requests, so that retries never multiply an overload; thread-safe.
 */
public final class RetryBudget {
  /** Largest number of retries saved up. */
  private static final double MAX_SAVED = 50;

  /** Retries allowed for each hundred requests. */
  private final IntSupplier percent;

  /** Retries that may be made now. */
  private double saved = MAX_SAVED;

  /** Creates a budget that starts full. */
  public RetryBudget(IntSupplier percent) {
    this.percent = percent;
  }

  /** Counts a request that is no retry. */
  public synchronized void onRequest() {
    saved = Math.min(MAX_SAVED, saved + percent.getAsInt() / 100.0);
  }

  /** Takes a retry from the budget; false if there is none. */
  public synchronized boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
