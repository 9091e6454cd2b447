package org.vanillacove.state.leadership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when a leader counts as overloaded. */
class LeaderLoadTest {
  private final LeaderLoad load = new LeaderLoad();

  @ParameterizedTest
  @CsvSource({
    "300, 0, 1000, true",
    "0, 0.25, 1000, true",
    "300, 0, 900, false",
    "250, 0.2, 5000, false",
    "0, 0, 5000, false",
  })
  void lastingLoadMakesALeaderOverloaded(
      long lagMillis, double silentShare, long lastsMillis, boolean overloaded) {
    load.observe(0, lagMillis, silentShare);
    assertThat(load.observe(lastsMillis, lagMillis, silentShare)).isEqualTo(overloaded);
  }

  @Test
  void shortPeaksDoNotAddUp() {
    for (long now = 0; now < 10_000; now += 1_000) {
      assertThat(load.observe(now, 900, 0)).isFalse();
      assertThat(load.observe(now + 500, 20, 0)).isFalse();
    }
  }

  @Test
  void overloadEndsOnlyOnceTheLoadIsLow() {
    load.observe(0, 900, 0);
    assertThat(load.observe(1_000, 900, 0)).isTrue();
    assertThat(load.observe(1_500, 200, 0)).isTrue();
    assertThat(load.observe(2_000, 20, 0.05)).isFalse();
    assertThat(load.observe(2_500, 200, 0)).isFalse();
  }

  @Test
  void newTermBeginsWithoutOverload() {
    load.observe(0, 900, 0);
    load.reset();
    assertThat(load.observe(1_000, 900, 0)).isFalse();
  }
}
