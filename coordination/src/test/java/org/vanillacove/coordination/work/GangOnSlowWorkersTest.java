package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.work.api.JobView;

/**
 * Guards against gangs that last for the time of a slow worker while fast ones are free: speeds are
 * learned from the progress of a few runs.
 */
class GangOnSlowWorkersTest {
  private static final String LEARNED = "00000000000000a1";
  private static final String GANG = "00000000000000a2";

  @ParameterizedTest
  @CsvSource({"0.6, 1.6, 3", "0.6, 1, 3", "1, 1.6, 2"})
  void gangRunsOnFastWorkers(double slow, double fast, int members) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    for (int i = 0; i < 6; i++) {
      fixture.workers.speed("w" + i, i < 3 ? slow : fast);
    }
    fixture.run(1_000);
    fixture.submit(CellFixture.job(LEARNED, CellFixture.step(6, 8_000, 4_000, false, List.of())));
    fixture.run(8_000);
    assertThat(fixture.cell().findJob(LEARNED)).contains(JobView.COMPLETED);

    fixture.submit(CellFixture.job(GANG, CellFixture.step(members, 8_000, 8_000, true, List.of())));
    fixture.run(500);
    assertThat(fixture.workers.workersOf(GANG)).hasSize(members).isSubsetOf("w3", "w4", "w5");
  }
}
