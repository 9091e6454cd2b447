package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.coordination.work.api.CancelOutcome;
import org.vanillacove.state.work.JobSpec;

/**
 * Guards against a job that runs although its cancellation was acknowledged, since its submission
 * arrived after that.
 */
class LateSubmissionOfCancelledJobRunsTest {
  private static final String ID = "00000000000000a1";
  private static final String OTHER = "00000000000000a2";

  private final CellFixture fixture = new CellFixture(1, false);

  /** What happens between the acknowledgement and the late submission. */
  private enum Interlude {
    NOTHING,
    NEW_LEADER,
    TWO_NEW_LEADERS,
    SECOND_CANCEL,
    OTHER_JOB,
    STORE_OUTAGE,
    STORE_OUTAGE_AND_NEW_LEADER;

    void play(CellFixture fixture) {
      switch (this) {
        case NEW_LEADER -> fixture.startLeader();
        case TWO_NEW_LEADERS -> {
          fixture.startLeader();
          fixture.run(250);
          fixture.startLeader();
        }
        case SECOND_CANCEL -> fixture.cancel(ID);
        case OTHER_JOB -> fixture.submit(job(OTHER));
        case STORE_OUTAGE -> playOutage(fixture);
        case STORE_OUTAGE_AND_NEW_LEADER -> {
          playOutage(fixture);
          fixture.startLeader();
        }
        default -> {
          // NOTHING happens in between.
        }
      }
    }
  }

  private static void playOutage(CellFixture fixture) {
    fixture.store.fault(FakeStore.Fault.UNRESPONSIVE);
    fixture.run(3_000);
    fixture.store.fault(FakeStore.Fault.NONE);
  }

  private static JobSpec job(String id) {
    return CellFixture.job(id, CellFixture.step(1, 1_000, 300, false, List.of()));
  }

  @ParameterizedTest
  @EnumSource(Interlude.class)
  void lateSubmissionIsRejected(Interlude interlude) {
    fixture.startLeader();
    fixture.run(1_000);
    fixture.cancel(ID);
    fixture.run(1_000);
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.NO_SUCH_JOB);
    interlude.play(fixture);
    fixture.run(4_000);
    int before = fixture.workers.starts();
    fixture.submit(job(ID));
    fixture.run(5_000);
    assertThat(fixture.isAccepted(ID)).isFalse();
    assertThat(fixture.workers.starts()).isEqualTo(before);
    assertThat(fixture.cell().findJob(ID)).isEmpty();
  }
}
