package org.vanillacove.state.locality;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks how long a wait for a near place pays. */
class PlaceWaitPolicyTest {
  // A run of 1 s takes 2 s elsewhere, so that a wait of less than 1 s pays.
  @ParameterizedTest
  @CsvSource({
    "  900,    0, 60000, true",
    " 1000,    0, 60000, false",
    "  300,  600, 60000, true",
    "  500,  600, 60000, false",
    "    0, 1001, 60000, false",
    "  800,    0,   700, true",
    "  900,    0,  1200, true",
    "   -1,    0, 60000, false",
  })
  void waitsWhileItIsShorterThanTheLongerRun(long nearIn, long waited, long slack, boolean waits) {
    assertThat(PlaceWaitPolicy.waits(view(1_000, 2, waited, nearIn, slack))).isEqualTo(waits);
  }

  // The factor of a cell decides: short runs and small factors leave no time to wait.
  @ParameterizedTest
  @CsvSource({
    "   500, 1.5,  200, true",
    "   500, 1.5,  300, false",
    "  5000, 3.0, 9000, true",
    " 50000, 3.0, 9000, true",
    " 50000, 3.0, 11000, false",
    "  5000, 1.0,    1, false",
    "  5000, 0.5,    1, false",
  })
  void longRunsMayWaitLongerUpToTheBound(long run, double factor, long nearIn, boolean waits) {
    assertThat(PlaceWaitPolicy.waits(view(run, factor, 0, nearIn, 60_000))).isEqualTo(waits);
  }

  // A late forecast must not make a job late that could be on time elsewhere.
  @ParameterizedTest
  @CsvSource({"1500, 1000, true", "1500, 2500, true", "1500, 2000, true", "2500, 1800, true"})
  void objectiveIsMetWhereEitherPlaceMeetsIt(long nearIn, long slack, boolean waits) {
    assertThat(PlaceWaitPolicy.waits(view(3_000, 2, 0, nearIn, slack))).isEqualTo(waits);
  }

  private static PlaceWaitPolicy.View view(
      long run, double factor, long waited, long nearIn, long slack) {
    return new PlaceWaitPolicy.View(
        run, factor, waited, nearIn < 0 ? OptionalLong.empty() : OptionalLong.of(nearIn), slack);
  }
}
