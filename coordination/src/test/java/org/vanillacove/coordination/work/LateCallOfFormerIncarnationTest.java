package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.JobView;

/**
 * Guards against tasks that run twice since a worker carries out calls for its former incarnation
 * after the leader knows the present one: renewals, starts and acknowledgements of ends.
 */
class LateCallOfFormerIncarnationTest {
  /** Longer than the leases that leaders request. */
  private static final long MAX_LEASE_MILLIS = 10_000;

  private static final String EARLIER = "00000000000000a1";
  private static final String ID = "00000000000000a2";

  private final CellFixture fixture = new CellFixture(1, false, MAX_LEASE_MILLIS);

  @ParameterizedTest
  @ValueSource(longs = {5_000, 8_000, 20_000})
  void lateRenewalDoesNotExtendTheLease(long lateBy) {
    startLeaderOfLongLivedWorkers();
    fixture.workers.heldCalls.hold("w0", true);
    fixture.run(500);
    fixture.workers.crash("w0");
    fixture.workers.heldCalls.hold("w0", false);
    fixture.run(1_000);
    submit(ID, 60_000);
    fixture.run(lateBy);
    assertThat(fixture.workers.running("w0")).isPositive();

    fixture.workers.heldCalls.release("w0");
    fixture.workers.disconnect("w0", true);
    fixture.run(120_000);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
  }

  @ParameterizedTest
  @ValueSource(longs = {1_000, 3_000, 10_000})
  void lateCopyOfStartDoesNotRunAnEndedTaskAgain(long lateBy) {
    startLeaderOfLongLivedWorkers();
    fixture.workers.heldCalls.hold("w0", true);
    submit(ID, 400);
    fixture.timer.advance(30);
    fixture.workers.heldCalls.hold("w0", false);
    fixture.run(4_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    fixture.workers.crash("w0");
    fixture.run(lateBy);

    fixture.workers.heldCalls.release("w0");
    fixture.run(10_000);

    assertThat(fixture.workers.violations()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {50, 70, 100})
  void absenceIsNoEvidenceBeforeLateCallsAreRejected(long lateBy) {
    startLeaderOfLongLivedWorkers();
    fixture.workers.heldCalls.hold("w0", true);
    submit(ID, 5_000);
    fixture.timer.advance(30);
    fixture.workers.heldCalls.hold("w0", false);
    fixture.run(1_500);
    assertThat(fixture.workers.running("w0")).isPositive();
    fixture.workers.crash("w0");
    awaitReportRequest();
    fixture.timer.advance(lateBy);

    fixture.workers.heldCalls.release("w0");
    fixture.run(20_000);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
  }

  @ParameterizedTest
  @ValueSource(longs = {1_000, 3_000, 10_000})
  void lateAcknowledgementDoesNotDropAnEnd(long lateBy) {
    startLeaderOfLongLivedWorkers();
    submit(EARLIER, 400);
    awaitEnd();
    fixture.timer.advance(100);
    fixture.workers.heldCalls.hold("w0", true);
    fixture.timer.advance(250);
    fixture.workers.crash("w0");
    fixture.workers.heldCalls.hold("w0", false);
    fixture.run(lateBy);
    submit(ID, 400);
    awaitEnd();

    fixture.workers.heldCalls.release("w0");
    fixture.run(10_000);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
  }

  @ParameterizedTest
  @ValueSource(longs = {100, 200, 300, 400})
  void rejectionOfLateCallDoesNotEndTheTerm(long lateBy) {
    startLeaderOfLongLivedWorkers();
    awaitReportRequest();
    fixture.timer.advance(50);
    fixture.workers.heldCalls.hold("w0", true);
    submit(ID, 5_000);
    fixture.timer.advance(30);
    fixture.workers.heldCalls.hold("w0", false);
    fixture.workers.crash("w0");
    fixture.cell().updateDirectory(fixture.workers.directory());
    fixture.timer.advance(lateBy);

    fixture.workers.heldCalls.release("w0");
    fixture.run(20_000);

    assertThat(fixture.fencedCalls()).isZero();
    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void returningWorkerDoesNotRejectALaterSession(boolean restarts) {
    startLeaderOfLongLivedWorkers();
    fixture.workers.crash("w0");
    fixture.run(2_000);
    fixture.workers.list("w0", false);
    fixture.run(2_000);
    if (restarts) {
      fixture.workers.crash("w0");
    }
    fixture.workers.list("w0", true);
    fixture.run(2_000);
    submit(ID, 1_000);
    fixture.run(500);

    assertThat(fixture.workers.running("w0")).isPositive();
    assertThat(fixture.fencedCalls()).isZero();
  }

  /** Starts a leader, and lets time pass until the workers' clocks are ahead of any new lease. */
  private void startLeaderOfLongLivedWorkers() {
    fixture.startLeader();
    fixture.run(30_000);
  }

  /** Lets time pass until the next report is requested, without a look at the directory. */
  private void awaitReportRequest() {
    int before = fixture.workers.reportRequests("w0");
    for (int i = 0; i < 1_000 && fixture.workers.reportRequests("w0") == before; i++) {
      fixture.cell().setCommandsAllowed(true);
      fixture.timer.advance(5);
    }
    assertThat(fixture.workers.reportRequests("w0")).isGreaterThan(before);
  }

  /** Lets time pass until a run on the worker ends. */
  private void awaitEnd() {
    for (int i = 0; i < 1_000 && fixture.workers.unacknowledgedEnds("w0") == 0; i++) {
      fixture.cell().setCommandsAllowed(true);
      fixture.timer.advance(5);
    }
    assertThat(fixture.workers.unacknowledgedEnds("w0")).isPositive();
  }

  private void submit(String id, long millis) {
    fixture.submit(CellFixture.job(id, CellFixture.step(36, 1_000, millis, false, List.of())));
  }
}
