package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.CancelOutcome;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.coordination.work.api.SubmitOutcome;

/** Tests the lifecycle of jobs with fake workers and a fake store. */
class WorkCellTest {
  private static final String ID = "00000000000000a1";

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void stepsRunInOrder(boolean advised) {
    CellFixture fixture = new CellFixture(1, advised);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(
        CellFixture.job(
            ID,
            CellFixture.step(4, 2_000, 800, false, List.of()),
            CellFixture.step(3, 4_000, 500, true, List.of(0))));

    fixture.run(1_000);
    assertThat(fixture.isAccepted(ID)).isTrue();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.RUNNING);

    fixture.run(5_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.starts()).isEqualTo(7);
  }

  @Test
  void decisionsAreCounted() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(2, 1_000, 300, false, List.of())));
    fixture.run(3_000);
    MeterRegistry registry = fixture.registry;
    assertThat(registry.counter("jobs.submitted", "outcome", "accepted").count()).isEqualTo(1);
    assertThat(registry.counter("runs", "outcome", "running").count()).isEqualTo(2);
    assertThat(registry.counter("runs", "outcome", "done").count()).isEqualTo(2);
    assertThat(registry.counter("jobs.ended", "outcome", "completed").count()).isEqualTo(1);
    assertThat(registry.get("steps.placement").timer().count()).isEqualTo(2);
  }

  @Test
  void repeatedSubmissionStaysOneJob() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    for (int i = 0; i < 3; i++) {
      fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 300, false, List.of())));
      fixture.run(1_000);
    }
    assertThat(fixture.workers.starts()).isEqualTo(1);
  }

  @Test
  void jobFailsAfterTheMaximumOfAttempts() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.workers.attempts(3, 1.0);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 200, false, List.of())));
    fixture.run(30_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.FAILED);
    assertThat(fixture.workers.starts()).isEqualTo(3);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Test
  void cancelStopsRunsAndIsDurable() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(2, 1_000, 60_000, false, List.of())));
    fixture.run(1_000);
    AtomicReference<CancelOutcome> cancelled = new AtomicReference<>();
    fixture.cell().cancel(ID, Optional.empty(), cancelled::set);
    fixture.run(1_500);
    assertThat(cancelled.get()).isEqualTo(CancelOutcome.CANCELLED);
    assertThat(fixture.workers.running()).isZero();

    fixture.startLeader();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.CANCELLED);
  }

  @Test
  void runsOfAnEndedJobKeepTheirCapacityUnderTheNextLeader() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(6, 8_000, 60_000, false, List.of())));
    fixture.run(1_000);
    fixture.cancel(ID);
    fixture.timer.advance(8);
    fixture.startLeader();
    String next = "00000000000000a2";
    fixture.submit(CellFixture.job(next, CellFixture.step(6, 8_000, 500, false, List.of())));
    fixture.run(3_000);
    assertThat(fixture.cell().findJob(next)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Test
  void callersAreAnsweredWhenTheTermEnds() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(2, 1_000, 60_000, false, List.of())));
    fixture.run(1_000);
    fixture.store.fault(FakeStore.Fault.UNRESPONSIVE);
    AtomicReference<CancelOutcome> cancelled = new AtomicReference<>();
    fixture.cell().cancel(ID, Optional.empty(), cancelled::set);
    String second = "00000000000000a2";
    fixture.submit(CellFixture.job(second, CellFixture.step(1, 1_000, 300, false, List.of())));
    fixture.cell().close();
    assertThat(cancelled.get()).isEqualTo(CancelOutcome.TERM_ENDED);
    assertThat(fixture.outcomes.get(second)).isInstanceOf(SubmitOutcome.TermEnded.class);
  }

  @Test
  void unknownJobIsNotShown() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    assertThat(fixture.cell().findJob(ID)).isEqualTo(Optional.empty());
  }

  @Test
  void endedJobIsForgottenAfterTheRetentionTime() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 200, false, List.of())));
    fixture.run(CellFixture.STATUS_MILLIS);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    fixture.run(15_000);
    assertThat(fixture.cell().findJob(ID)).isEmpty();
    assertThat(fixture.store.records().stream().map(KeyedRecord::key))
        .noneMatch(key -> key.endsWith(ID));
  }

  @Test
  void newLeaderTakesOverRunsWithoutRestartingThem() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(4, 2_000, 4_000, false, List.of())));
    fixture.run(1_500);
    fixture.startLeader();
    fixture.run(6_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.starts()).isEqualTo(4);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Test
  void tasksOfUnresponsiveWorkerRestartOnlyAfterItsLeaseEnds() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(4, 8_000, 3_000, false, List.of())));
    fixture.run(1_000);
    fixture.workers.disconnect("w0", true);
    fixture.workers.disconnect("w1", true);
    fixture.run(20_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Test
  void stalledTasksRestartOnOtherWorkers() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.workers.hang("w0", true);
    fixture.workers.hang("w1", true);
    fixture.submit(CellFixture.job(ID, CellFixture.step(4, 8_000, 1_000, false, List.of())));
    fixture.run(7_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = FakeStore.Fault.class,
      names = {"REJECTS", "UNRESPONSIVE"})
  void submissionIsAnsweredWhileTheStoreIsUnavailable(FakeStore.Fault fault) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.store.fault(fault);
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 200, false, List.of())));
    fixture.run(1_500);
    assertThat(fixture.outcomes.get(ID)).isNotInstanceOf(SubmitOutcome.Accepted.class);
    assertThat(fixture.outcomes).containsKey(ID);

    String second = "00000000000000a2";
    fixture.submit(CellFixture.job(second, CellFixture.step(1, 1_000, 200, false, List.of())));
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 200, false, List.of())));
    assertThat(fixture.outcomes.get(ID)).isNotInstanceOf(SubmitOutcome.Accepted.class);
    fixture.timer.advance(900);
    assertThat(fixture.outcomes.get(second)).isInstanceOf(SubmitOutcome.Rejected.class);

    fixture.store.fault(FakeStore.Fault.NONE);
    fixture.run(3_000);
    boolean ran = fixture.workers.starts() > 0;
    assertThat(ran).isEqualTo(!(fixture.outcomes.get(ID) instanceof SubmitOutcome.Rejected));
  }

  @Test
  void endsAreNotAcknowledgedWhileTheStoreIsUnavailable() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(CellFixture.job(ID, CellFixture.step(2, 1_000, 1_000, false, List.of())));
    fixture.run(750);
    fixture.store.fault(FakeStore.Fault.UNRESPONSIVE);
    fixture.run(4_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.RUNNING);

    fixture.store.fault(FakeStore.Fault.NONE);
    fixture.startLeader();
    fixture.run(4_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.starts()).isEqualTo(2);
  }
}
