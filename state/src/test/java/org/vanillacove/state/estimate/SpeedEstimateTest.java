package org.vanillacove.state.estimate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the estimated speed of workers with few observations, outliers and changes. */
class SpeedEstimateTest {
  private static SpeedEstimate observed(double speed, int count) {
    SpeedEstimate estimate = new SpeedEstimate();
    for (int i = 0; i < count; i++) {
      estimate.observe(speed);
    }
    return estimate;
  }

  @ParameterizedTest
  @CsvSource({"0.6, 8", "1.0, 1", "1.6, 8", "1.6, 50"})
  void fewObservationsShowTheSpeed(double speed, int count) {
    assertThat(observed(speed, count).speed()).isCloseTo(speed, within(speed * 0.1));
  }

  @ParameterizedTest
  @CsvSource({"0.6, 0.7, 0.9", "1.6, 1.1, 1.4"})
  void oneObservationIsShrunkTowardsOne(double speed, double low, double high) {
    assertThat(observed(speed, 1).speed()).isBetween(low, high);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.001, 1_000})
  void anOutlierHasLittleEffect(double outlier) {
    SpeedEstimate estimate = observed(1, 10);
    estimate.observe(outlier);
    assertThat(estimate.speed()).isCloseTo(1, within(0.15));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 2})
  void aChangeIsFollowed(double speed) {
    SpeedEstimate estimate = observed(1, 1_000);
    for (int i = 0; i < 60; i++) {
      estimate.observe(speed);
    }
    assertThat(estimate.speed()).isCloseTo(speed, within(speed * 0.1));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, -1, Double.NaN})
  void impossibleSpeedsAreIgnored(double speed) {
    assertThat(observed(speed, 3).speed()).isEqualTo(1);
  }
}
