package org.vanillacove.state.estimate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks learned run times under a heavy tail, an outlier and a change of the load. */
class RunTimeRatiosTest {
  private static RunTimeRatios observed(int count, int longEvery, double longRatio) {
    RunTimeRatios ratios = new RunTimeRatios();
    for (int i = 1; i <= count; i++) {
      ratios.observe(i % longEvery == 0 ? longRatio : 1);
    }
    return ratios;
  }

  @ParameterizedTest
  @CsvSource({"0.5, 1", "0.9, 1", "0.96, 1", "0.98, 7"})
  void quantilesFollowAHeavyTail(double q, double expected) {
    assertThat(observed(1_000, 33, 7).quantile(q)).isCloseTo(expected, within(expected * 0.1));
  }

  @ParameterizedTest
  @ValueSource(doubles = {7, 64, 1e9})
  void oneOutlierMovesNoMiddleQuantile(double outlier) {
    RunTimeRatios ratios = observed(20, 20, outlier);
    assertThat(ratios.quantile(0.5)).isEqualTo(1);
    assertThat(ratios.quantile(0.9)).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.1, 0.5, 0.99})
  void declarationHoldsWithoutObservations(double q) {
    RunTimeRatios none = new RunTimeRatios();
    assertThat(none.quantile(q)).isEqualTo(1);
    assertThat(none.mean()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"2, 0.03", "5, 0.03", "20, 0"})
  void shareAboveCountsTheTail(double ratio, double expected) {
    assertThat(observed(2_000, 33, 7).shareAbove(ratio)).isCloseTo(expected, within(0.002));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.25, 4})
  void olderRunsFade(double later) {
    RunTimeRatios ratios = observed(100_000, 1, 1);
    for (int i = 0; i < 4_000; i++) {
      ratios.observe(later);
    }
    assertThat(ratios.quantile(0.5)).isCloseTo(later, within(later * 0.1));
    assertThat(ratios.weight()).isLessThanOrEqualTo(2_048);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, -1, Double.NaN})
  void impossibleRatiosAreIgnored(double ratio) {
    RunTimeRatios ratios = new RunTimeRatios();
    ratios.observe(ratio);
    assertThat(ratios.weight()).isZero();
  }
}
