package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient.EndCause;

/**
 * Guards against a job that is given up at its first failure, since the leader has not read yet how
 * many attempts its queue allows.
 */
class JobFailedWithoutConfigurationTest {
  private static final String ID = "00000000000000a1";
  private static final TaskName TASK = new TaskName(ID, 0, 0);

  @ParameterizedTest
  @CsvSource({"1,false,COMPLETED", "2,false,COMPLETED", "3,false,FAILED", "3,true,FAILED"})
  void failuresAreJudgedByTheConfiguration(int failures, boolean nextLeader, JobView expected) {
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
    for (int run = 1; run <= failures; run++) {
      fixture.workers.addEnd("w" + run, TASK, run, EndCause.FAILED);
    }
    fixture.startLeaderWithoutConfiguration();
    for (int i = 0; i < 6; i++) {
      fixture.workers.disconnect("w" + i, false);
    }
    fixture.run(3_000);
    if (nextLeader) {
      fixture.startLeader();
    } else {
      fixture.configure();
    }
    fixture.run(3_000);
    assertThat(fixture.cell().findJob(ID)).contains(expected);
    assertThat(fixture.workers.starts()).isEqualTo(expected == JobView.FAILED ? 0 : 1);
    assertThat(fixture.workers.violations()).isEmpty();
  }
}
