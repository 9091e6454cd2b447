package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient.EndCause;

/**
 * Guards against a failed run that is acknowledged without being counted, since a later run of the
 * task was reported before it: the task would start once more than its queue allows.
 */
class FailureLostFromBudgetTest {
  private static final String ID = "00000000000000a1";
  private static final TaskName TASK = new TaskName(ID, 0, 0);

  /** Time in which a connected worker reports. */
  private static final long REPORT_MILLIS = 1_000;

  @ParameterizedTest
  @CsvSource({"1,2,3", "1,3,2", "2,1,3", "2,3,1", "3,1,2", "3,2,1"})
  void failuresReportedInAnyOrderAreCounted(int first, int second, int third) {
    CellFixture fixture = fixtureWithSilentWorkers();
    for (int run = 1; run <= 3; run++) {
      fixture.workers.addEnd("w" + run, TASK, run, EndCause.FAILED);
    }
    fixture.startLeader();
    for (int run : List.of(first, second, third)) {
      fixture.workers.disconnect("w" + run, false);
      fixture.run(REPORT_MILLIS);
    }
    connectAll(fixture);
    assertThat(fixture.workers.starts()).isZero();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.FAILED);
  }

  @Test
  void failureReportedToTwoLeadersIsCountedOnce() {
    CellFixture fixture = fixtureWithSilentWorkers();
    fixture.workers.addEnd("w1", TASK, 1, EndCause.FAILED);
    fixture.workers.addEnd("w2", TASK, 2, EndCause.FAILED);
    fixture.startLeader();
    fixture.workers.disconnect("w2", false);
    fixture.run(REPORT_MILLIS);
    fixture.workers.disconnect("w1", false);
    fixture.run(REPORT_MILLIS);
    // The acknowledgement is lost, so the worker reports the end again.
    fixture.workers.addEnd("w1", TASK, 1, EndCause.FAILED);
    fixture.startLeader();
    connectAll(fixture);
    assertThat(fixture.workers.starts()).isEqualTo(1);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  /** Returns a cell with an accepted job of which no run was started, since no worker responds. */
  private static CellFixture fixtureWithSilentWorkers() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.workers.attempts(3, 0);
    fixture.startLeader();
    fixture.run(1_000);
    for (int i = 0; i < 6; i++) {
      fixture.workers.disconnect("w" + i, true);
    }
    fixture.run(2_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 300, false, List.of())));
    fixture.run(250);
    return fixture;
  }

  private static void connectAll(CellFixture fixture) {
    for (int i = 0; i < 6; i++) {
      fixture.workers.disconnect("w" + i, false);
    }
    fixture.run(5_000);
  }
}
