package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.work.api.JobView;

/**
 * Guards against tasks that run twice since the leader that saw a worker restart is replaced, and
 * its successors don't reckon with the longest lease, which a call for the former incarnation got.
 */
class LeaseOfRestartedWorkerForgottenAtTakeoverTest {
  /** Longer than the leases that leaders request. */
  private static final long MAX_LEASE_MILLIS = 10_000;

  private static final String ID = "00000000000000a2";

  @ParameterizedTest
  @CsvSource({"250, 1, 250", "500, 1, 500", "1000, 1, 250", "1000, 1, 1000", "500, 2, 500"})
  void successorsKeepTheRunsUntilTheLongestLeaseExpires(
      long takeoverAfter, int takeovers, long silentAfter) {
    CellFixture fixture = new CellFixture(1, false, MAX_LEASE_MILLIS);
    fixture.startLeader();
    // The clock of the former incarnation is ahead of any lease of the new one.
    fixture.run(30_000);

    fixture.workers.crash("w0");
    fixture.submit(CellFixture.job(ID, CellFixture.step(36, 1_000, 30_000, false, List.of())));
    fixture.timer.advance(30);
    assertThat(fixture.workers.running("w0")).isPositive();
    fixture.run(takeoverAfter);
    for (int i = 0; i < takeovers; i++) {
      fixture.startLeader();
      fixture.run(silentAfter);
    }
    fixture.workers.disconnect("w0", true);
    fixture.run(60_000);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
  }
}
