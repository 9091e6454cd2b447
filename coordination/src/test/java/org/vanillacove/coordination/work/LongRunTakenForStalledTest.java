package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.TaskName;

/**
 * Guards against a healthy run that is stopped as stalled, since it lasts longer than declared and
 * its percentage stays at 100, while runs that stand still are restarted as before.
 */
class LongRunTakenForStalledTest {
  private static final String ID = "00000000000000a1";
  private static final String OTHER = "00000000000000a2";

  @ParameterizedTest
  @CsvSource({
    "540, 7, false",
    "1900, 7, false",
    "4200, 7, false",
    "4200, 7, true",
    "1000, 3, true"
  })
  void longRunsContinue(long estimateMillis, double factor, boolean gang) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    for (int i = 0; i < 4; i++) {
      // All members of a gang are long; of other steps only the last task is.
      if (gang || i == 3) {
        fixture.workers.lengthen(new TaskName(ID, 0, i), factor);
      }
    }
    fixture.submit(
        CellFixture.job(ID, CellFixture.step(4, 2_000, estimateMillis, gang, List.of())));
    fixture.run((long) (estimateMillis * factor) + 2_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.starts()).isEqualTo(4);
  }

  // A member that is through with its own work waits at 100 percent for the slowest one.
  @ParameterizedTest
  @ValueSource(doubles = {0.6, 0.4, 0.25})
  void gangWithASlowMemberContinues(double speed) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.workers.speed("w0", speed);
    fixture.workers.keepMembersTogether();
    fixture.submit(CellFixture.job(ID, CellFixture.step(6, 6_000, 7_000, true, List.of())));
    fixture.run((long) (7_000 / speed) + 2_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.starts()).isEqualTo(6);
  }

  // The runs below 100 percent show that the worker stands, so that the one at 100 is stopped too.
  @ParameterizedTest
  @ValueSource(longs = {1_000, 2_000})
  void overdueRunOnAStandingWorkerRestarts(long estimateMillis) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    for (int i = 0; i < 6; i++) {
      fixture.workers.lengthen(new TaskName(ID, 0, i), 2);
    }
    fixture.submit(
        CellFixture.job(ID, CellFixture.step(6, 5_000, estimateMillis, false, List.of())));
    fixture.run(estimateMillis + 500);
    String standing = fixture.workers.workersOf(ID).getFirst();
    fixture.submit(CellFixture.job(OTHER, CellFixture.step(6, 3_000, 3_000, false, List.of())));
    fixture.run(250);
    fixture.workers.hang(standing, true);
    fixture.run(3 * estimateMillis + 3_500);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  // Without any other sign the learned run times decide, so that no task stands for good.
  @ParameterizedTest
  @ValueSource(ints = {0, 200})
  void loneRunThatStandsRestartsInTheEnd(int observed) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    for (int i = 0; i < observed; i += 10) {
      fixture.submit(
          CellFixture.job(
              String.format("%016x", 0x1000 + i),
              CellFixture.step(10, 1_000, 500, false, List.of())));
      fixture.run(1_500);
    }
    fixture.workers.lengthen(new TaskName(ID, 0, 0), 1.5);
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 8_000, 500, false, List.of())));
    fixture.run(700);
    String standing = fixture.workers.workersOf(ID).getFirst();
    fixture.workers.hang(standing, true);
    fixture.run(observed > 0 ? 4_000 : 15_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.starts()).isEqualTo(observed + 2);
  }
}
