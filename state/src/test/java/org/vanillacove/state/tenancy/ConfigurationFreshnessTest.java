package org.vanillacove.state.tenancy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.state.tenancy.ConfigurationFreshness.ClockReading;

/** Checks the age of a configuration by two clocks, each of which may be wrong. */
class ConfigurationFreshnessTest {
  private static final ClockReading SENT = new ClockReading(1_000, 50_000);

  private final ConfigurationFreshness freshness = new ConfigurationFreshness();

  @Test
  void nothingIsFreshBeforeTheFirstRead() {
    assertThat(freshness.isFresh(SENT, Long.MAX_VALUE)).isFalse();
    assertThat(freshness.ageMillis(SENT)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "4500, 53500, true",
    "4501, 53501, false",
    "1001, 53501, false", // suspended
    "4501, 50001, false", // wall clock slow
    "1001, 49999, false", // wall clock set back
    "1000, 50000, true"
  })
  void largerAgeCounts(long monotonicMillis, long wallMillis, boolean fresh) {
    freshness.confirm(SENT);
    ClockReading now = new ClockReading(monotonicMillis, wallMillis);
    assertThat(freshness.isFresh(now, 3_500)).isEqualTo(fresh);
  }

  // Answers may overtake each other.
  @Test
  void olderReadDoesNotReplaceANewerOne() {
    ClockReading newer = new ClockReading(2_000, 51_000);
    freshness.confirm(newer);
    freshness.confirm(SENT);
    assertThat(freshness.ageMillis(new ClockReading(2_100, 51_100))).hasValue(100);
  }
}
