package org.vanillacove.state.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks which jobs of a burst are rejected, and when their callers return. */
class AdmissionPolicyTest {
  private static final AdmissionPolicy.FreeCapacity FULL =
      new AdmissionPolicy.FreeCapacity(0, 0, 8);

  private static AdmissionPolicy.View backlog(double millis) {
    return new AdmissionPolicy.View(100, millis * 85, 1_000);
  }

  @ParameterizedTest
  @CsvSource({"0, false", "900, false", "1100, true", "60000, true"})
  void jobsBehindTooMuchWorkAreRejected(double backlogMillis, boolean rejected) {
    assertThat(AdmissionPolicy.rejection("a1", backlog(backlogMillis), FULL).isPresent())
        .isEqualTo(rejected);
  }

  @ParameterizedTest
  @CsvSource({
    "8, 0, 8, true",
    "40, 32, 8, true",
    "40, 33, 8, false",
    "7, 0, 8, false",
    "0, 0, 0, false",
  })
  void jobsAreAcceptedWhileTheirFirstStepFits(
      double free, double waiting, double needed, boolean accepted) {
    AdmissionPolicy.FreeCapacity capacity = new AdmissionPolicy.FreeCapacity(free, waiting, needed);
    assertThat(AdmissionPolicy.rejection("a1", backlog(60_000), capacity).isEmpty())
        .isEqualTo(accepted);
  }

  @ParameterizedTest
  @ValueSource(longs = {2_500, 4_000, 6_000})
  void callersReturnWhenTheForecastEndsAndSpread(long backlogMillis) {
    Set<Duration> delays =
        IntStream.range(0, 200)
            .mapToObj(i -> String.format("%016x", i))
            .map(job -> AdmissionPolicy.retryDelay(job, backlog((double) backlogMillis)))
            .collect(Collectors.toSet());
    long due = backlogMillis - 1_000;
    assertThat(delays)
        .hasSizeGreaterThan(40)
        .allSatisfy(delay -> assertThat(delay.toMillis()).isBetween(due, due + due / 2));
  }

  @ParameterizedTest
  @ValueSource(strings = {"a1", "00000000000000a2"})
  void aRepeatedCallGetsTheSameDelay(String job) {
    assertThat(AdmissionPolicy.retryDelay(job, backlog(4_000)))
        .isEqualTo(AdmissionPolicy.retryDelay(job, backlog(4_000)));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 60_000})
  void jobsWithoutWorkersAreRejected(double backlogMillis) {
    AdmissionPolicy.View view = new AdmissionPolicy.View(0, backlogMillis, 1_000);
    assertThat(AdmissionPolicy.rejection("a1", view, FULL)).isPresent();
  }
}
