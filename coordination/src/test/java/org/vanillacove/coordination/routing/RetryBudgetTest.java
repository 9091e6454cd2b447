package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link RetryBudget}. */
class RetryBudgetTest {
  private static final int INITIAL_BALANCE = 50;
  private final RetryBudget budget = new RetryBudget(() -> 10);

  @Test
  void retriesAreLimitedToShareOfRequestsOnceBalanceIsSpent() {
    assertThat(spendAll()).isEqualTo(INITIAL_BALANCE);

    for (int i = 0; i < 105; i++) {
      budget.onRequest();
    }

    assertThat(spendAll()).isEqualTo(10);
  }

  @Test
  void balanceIsBounded() {
    for (int i = 0; i < 10_000; i++) {
      budget.onRequest();
    }

    assertThat(spendAll()).isEqualTo(INITIAL_BALANCE);
  }

  private int spendAll() {
    int made = 0;
    while (budget.tryRetry()) {
      made++;
    }
    return made;
  }
}
