package org.vanillacove.state.locality;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.locality.NearPlaceForecast.ExpectedEnd;
import org.vanillacove.state.work.StepSpec;
import org.vanillacove.state.work.WorkerCapacity;

/** Checks the forecast over a rack of two full workers whose runs end one after the other. */
class NearPlaceForecastTest {
  private static final Resources CAPACITY = new Resources(8_000, 8_000, 0);

  @ParameterizedTest
  @CsvSource({
    "1, 4000,  300",
    "2, 4000,  700",
    "4, 4000, 1500",
    "5, 4000,   -1",
    "1, 8000,  900",
    "1, 9000,   -1",
  })
  void tasksFitOnceEnoughRunsHaveEnded(int count, long cpu, long millis) {
    List<WorkerCapacity> rack = List.of(worker("w1", 0), worker("w2", 0));
    List<ExpectedEnd> ends =
        List.of(
            new ExpectedEnd("w2", 1_500, new Resources(4_000, 0, 0)),
            new ExpectedEnd("w1", 300, new Resources(4_000, 0, 0)),
            new ExpectedEnd("w2", 700, new Resources(4_000, 0, 0)),
            new ExpectedEnd("w1", 900, new Resources(4_000, 0, 0)),
            new ExpectedEnd("elsewhere", 1, CAPACITY));
    assertThat(NearPlaceForecast.millisUntilFit(step(count, cpu), count, rack, ends))
        .isEqualTo(millis < 0 ? OptionalLong.empty() : OptionalLong.of(millis));
  }

  @ParameterizedTest
  @CsvSource({"1, 4000, 0", "3, 4000, -1"})
  void freeCapacityCountsAtOnce(int count, long free, long millis) {
    assertThat(
            NearPlaceForecast.millisUntilFit(
                step(count, 2_000), count, List.of(worker("w1", free)), List.of()))
        .isEqualTo(millis < 0 ? OptionalLong.empty() : OptionalLong.of(millis));
  }

  private static WorkerCapacity worker(String id, long freeCpu) {
    return new WorkerCapacity(id, "r1", Set.of(), CAPACITY, new Resources(freeCpu, 8_000, 0), 0, 1);
  }

  private static StepSpec step(int count, long cpu) {
    return new StepSpec(
        count,
        new Resources(cpu, 0, 0),
        1_000,
        List.of(),
        false,
        false,
        false,
        Optional.empty(),
        Optional.of("r1"),
        0);
  }
}
