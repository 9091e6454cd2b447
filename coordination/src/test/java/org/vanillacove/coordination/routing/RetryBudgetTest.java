package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link RetryBudget}. */
class RetryBudgetTest {
  private static final int SAVED_AT_FIRST = 50;
  private final RetryBudget budget = new RetryBudget(() -> 10);

  @Test
  void retriesAreAShareOfRequestsOnceTheSavingsAreSpent() {
    assertThat(retries()).isEqualTo(SAVED_AT_FIRST);

    for (int i = 0; i < 105; i++) {
      budget.onRequest();
    }

    assertThat(retries()).isEqualTo(10);
  }

  @Test
  void savingsAreBounded() {
    for (int i = 0; i < 10_000; i++) {
      budget.onRequest();
    }

    assertThat(retries()).isEqualTo(SAVED_AT_FIRST);
  }

  private int retries() {
    int made = 0;
    while (budget.tryRetry()) {
      made++;
    }
    return made;
  }
}
