package org.vanillacove.coordination.routing;

import java.util.function.IntSupplier;

/**
 * Allows retries as a share of requests, so that retries never multiply an overload; thread-safe.
 */
public final class RetryBudget {
  /** Largest number of retries saved up. */
  private static final double MAX_BALANCE = 50;

  /** Retries allowed for each hundred requests. */
  private final IntSupplier percent;

  /** Retries that may be made now. */
  private double balance = MAX_BALANCE;

  /** Creates a budget that starts full. */
  public RetryBudget(IntSupplier percent) {
    this.percent = percent;
  }

  /** Counts a request that is no retry. */
  public synchronized void onRequest() {
    balance = Math.min(MAX_BALANCE, balance + percent.getAsInt() / 100.0);
  }

  /** Takes a retry from the budget; false if there is none. */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
