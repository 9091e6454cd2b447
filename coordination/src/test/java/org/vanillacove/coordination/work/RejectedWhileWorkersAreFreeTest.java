package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.state.work.QueuePolicy;

/**
 * Guards against jobs that are rejected although free workers hold them, or behind work that is
 * served after them since it earns no credit any more.
 */
class RejectedWhileWorkersAreFreeTest {
  private static final String BLOCKED = "00000000000000a1";
  private static final String GANG = "00000000000000a2";
  private static final String JOB = "00000000000000a3";

  private static CellFixture fixture() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader(
        List.of(
            new QueuePolicy(
                CellFixture.QUEUE,
                CellFixture.ADDRESS,
                CellFixture.SERVICE,
                1,
                3,
                1.5,
                500,
                Optional.empty())));
    fixture.run(1_000);
    return fixture;
  }

  // The gang waits for the last worker, but doesn't keep the other ones from another gang.
  @ParameterizedTest
  @CsvSource({"1, true", "5, true", "6, false"})
  void gangBesideAWaitingOneIsAcceptedIfItFits(int members, boolean accepted) {
    CellFixture fixture = fixture();
    fixture.submit(CellFixture.job(BLOCKED, CellFixture.step(1, 1_000, 30_000, false, List.of())));
    fixture.run(500);
    fixture.submit(CellFixture.job(GANG, CellFixture.step(6, 8_000, 30_000, true, List.of())));
    fixture.run(500);
    fixture.submit(CellFixture.job(JOB, CellFixture.step(members, 8_000, 1_000, true, List.of())));
    fixture.run(500);
    assertThat(fixture.isAccepted(JOB)).isEqualTo(accepted);
  }

  // Work that waits longer than three times its objective is served after all other work.
  @ParameterizedTest
  @ValueSource(ints = {60, 72})
  void jobBehindWorkThatEarnsNothingIsAccepted(int tasks) {
    CellFixture fixture = fixture();
    fixture.submit(
        CellFixture.job(BLOCKED, CellFixture.step(tasks, 8_000, 1_000, false, List.of())));
    fixture.run(6_500);
    assertThat(fixture.workers.starts()).isLessThan(tasks - 6);
    fixture.submit(CellFixture.job(JOB, CellFixture.step(6, 8_000, 1_000, false, List.of())));
    fixture.run(500);
    assertThat(fixture.isAccepted(JOB)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {20, 40})
  void jobBehindWorkThatIsServedFirstIsRejected(int tasks) {
    CellFixture fixture = fixture();
    fixture.submit(
        CellFixture.job(BLOCKED, CellFixture.step(tasks, 8_000, 1_000, false, List.of())));
    fixture.run(500);
    fixture.submit(CellFixture.job(JOB, CellFixture.step(6, 8_000, 1_000, false, List.of())));
    fixture.run(500);
    assertThat(fixture.isAccepted(JOB)).isFalse();
  }
}
