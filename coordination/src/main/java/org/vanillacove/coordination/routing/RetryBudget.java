package org.vanillacove.coordination.routing;

import java.util.function.IntSupplier;

/** Limits retries to a share of requests so that they cannot amplify an overload; thread-safe. */
public final class RetryBudget {
  /** Maximum number of unused retries that accumulate. */
  private static final double MAX_BALANCE = 50;

  /** Supplies the number of retries allowed per hundred requests. */
  private final IntSupplier percent;

  /** Number of retries currently available; requests add fractions. */
  private double balance = MAX_BALANCE;

  /** Creates a budget that starts full. */
  public RetryBudget(IntSupplier percent) {
    this.percent = percent;
  }

  /** Adds the share earned by a request that is not a retry. */
  public synchronized void onRequest() {
    balance = Math.min(MAX_BALANCE, balance + percent.getAsInt() / 100.0);
  }

  /** Consumes a retry from the budget; false if none is available. */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
