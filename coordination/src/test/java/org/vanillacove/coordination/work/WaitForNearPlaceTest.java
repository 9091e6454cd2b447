package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.StepSpec;

/**
 * Plays jobs whose data lies on a rack that is full at first, while another rack is free, in
 * virtual time. Guards against a fixed rule: to wait always, or never.
 */
class WaitForNearPlaceTest {
  private static final String DATA_RACK = "r0";

  /** Workers of a rack in {@link CellFixture}, of 8 cores each. */
  private static final int WORKERS_PER_RACK = 3;

  // The rack is full for 1 s or 6 s. A run of 2 s takes 6 s elsewhere, so that a wait of up to 4 s
  // pays; where the wait would be longer, the job starts elsewhere at once.
  @ParameterizedTest
  @CsvSource({
    "1000, 3, 3, 4000",
    "1000, 1, 3, 8000",
    "6000, 3, 3, 8000",
    "6000, 1, 3, 8000",
  })
  void jobEndsSoonerThanByEitherFixedRule(
      long occupiedMillis, double knownFactor, int realFactor, long endMillis) {
    CellFixture fixture = fixture(knownFactor, realFactor);
    occupy(fixture, occupiedMillis);
    fixture.submit(CellFixture.job("0000000000000001", nearStep(2_000)));
    assertThat(millisToEnd(fixture, "0000000000000001")).isLessThan(endMillis);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  // The runs in the way last far longer than declared, as a few do: the wait is bounded.
  @ParameterizedTest
  @CsvSource({"2000, 12000", "1000, 8000"})
  void wrongForecastDelaysAJobNoLongerThanTheLongerRun(long runMillis, long endMillis) {
    CellFixture fixture = fixture(3, 3);
    occupy(fixture, 1_000);
    fixture.workers.hang("w0", true);
    fixture.workers.hang("w1", true);
    fixture.workers.hang("w2", true);
    fixture.submit(CellFixture.job("0000000000000001", nearStep(runMillis)));
    assertThat(millisToEnd(fixture, "0000000000000001")).isLessThan(endMillis);
  }

  private static CellFixture fixture(double knownFactor, int realFactor) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.workers.slowRemoteTasks(realFactor);
    fixture.cell().setRemoteFactor(knownFactor);
    fixture.run(500);
    return fixture;
  }

  /** Fills the rack of the data with runs of {@code millis}. */
  private static void occupy(CellFixture fixture, long millis) {
    fixture.submit(CellFixture.job("00000000000000ff", step(WORKERS_PER_RACK, 8_000, millis)));
    fixture.run(250);
  }

  private static long millisToEnd(CellFixture fixture, String id) {
    long start = fixture.timer.monotonicMillis();
    while (fixture.cell().findJob(id).filter(JobView.COMPLETED::equals).isEmpty()
        && fixture.timer.monotonicMillis() - start < 60_000) {
      fixture.run(250);
    }
    return fixture.timer.monotonicMillis() - start;
  }

  private static StepSpec nearStep(long millis) {
    return step(1, 2_000, millis);
  }

  private static StepSpec step(int count, long cpu, long millis) {
    return new StepSpec(
        count,
        new Resources(cpu, 1_000, 0),
        millis,
        List.of(),
        false,
        false,
        false,
        Optional.empty(),
        Optional.of(DATA_RACK),
        0);
  }
}
