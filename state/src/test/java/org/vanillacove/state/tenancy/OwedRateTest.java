package org.vanillacove.state.tenancy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.state.work.AdmissionPolicy;

/** Replays organisations that send below and far beyond their weight. */
class OwedRateTest {
  private static final long DAY_MILLIS = 60_000;

  // Sent and owed jobs a second; the burst of two seconds comes on top once.
  @ParameterizedTest
  @CsvSource({"5,4,240,240", "5,5,300,300", "5,50,309,311", "0.5,0.4,24,24", "0.5,5,30,31"})
  void owedJobsFollowTheWeight(double weight, double sent, int least, int most) {
    OwedRate rate = new OwedRate(weight, 0);
    int owed = 0;
    for (int i = 0; i < sent * DAY_MILLIS / 1000; i++) {
      owed += rate.take(weight, (long) (i * 1000 / sent)) ? 1 : 0;
    }
    assertThat(owed).isBetween(least, most);
  }

  @Test
  void rejectedJobIsNotCounted() {
    OwedRate rate = new OwedRate(1, 0);
    for (int i = 0; i < 10; i++) {
      assertThat(rate.take(1, 0)).isTrue();
      rate.giveBack();
    }
    assertThat(rate.take(1, 0)).isTrue();
    assertThat(rate.take(1, 0)).isTrue();
    assertThat(rate.take(1, 0)).isFalse();
    assertThat(rate.millisToNext(1)).isEqualTo(1_000);
    assertThat(rate.take(1, 999)).isFalse();
    assertThat(rate.take(1, 1_000)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"0,0,true", "40000,0,true", "51000,0,false", "99000,0,false", "99000,90000,false"})
  void excessIsAcceptedWhileThereIsRoom(double backlog, long millisToNext, boolean accepted) {
    AdmissionPolicy.View view = new AdmissionPolicy.View(10 / 0.85, backlog, 10_000);
    assertThat(ExcessPolicy.rejection("a1", view, millisToNext).isEmpty()).isEqualTo(accepted);
    ExcessPolicy.rejection("a1", view, millisToNext)
        .ifPresent(delay -> assertThat(delay.toMillis()).isBetween(1_000L, 8_000L));
  }
}
