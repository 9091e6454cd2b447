package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.WorkerClient.Refusal;
import org.vanillacove.state.work.StepSpec;

/**
 * Guards against members of a gang that wait at their workers, until these end them, for a member
 * that was never started.
 */
class GangLeftAloneTest {
  private static final String ID = "00000000000000a1";

  /** Six members that need a whole worker each. */
  private static final StepSpec GANG = CellFixture.step(6, 8_000, 1_500, true, List.of());

  @ParameterizedTest
  @EnumSource(
      value = Refusal.class,
      names = {"TICKET", "UNHEALTHY", "NO_ROOM", "LATE", "UNREACHABLE", "OTHER_INSTANCE"})
  void refusedStartOfAMemberLeavesNoneAlone(Refusal refusal) {
    CellFixture fixture = startedFixture();
    fixture.workers.refuseStarts("w3", 1, refusal);
    submitAndCheck(fixture);
    String reason = refusal.name().toLowerCase(Locale.ROOT);
    assertThat(fixture.registry.counter("gangs.stopped", "outcome", reason).count()).isEqualTo(1);
    assertThat(fixture.registry.get("gangs.completion").timer().count()).isEqualTo(1);
  }

  @Test
  void unansweredStartOfAMemberLeavesNoneAlone() {
    CellFixture fixture = startedFixture();
    fixture.workers.dropStarts("w3", true);
    fixture.submit(CellFixture.job(ID, GANG));
    fixture.run(3_000);
    fixture.workers.dropStarts("w3", false);
    checkEnd(fixture);
  }

  @Test
  void lossOfAMemberBeforeTheOthersLeavesNoneAlone() {
    CellFixture fixture = startedFixture();
    fixture.workers.dropStarts("w3", true);
    fixture.submit(CellFixture.job(ID, GANG));
    fixture.run(250);
    fixture.workers.crash("w2");
    fixture.run(250);
    fixture.workers.dropStarts("w3", false);
    checkEnd(fixture);
  }

  @Test
  void changeOfLeaderDuringTheStartsLeavesNoneAlone() {
    CellFixture fixture = startedFixture();
    fixture.workers.dropStarts("w3", true);
    fixture.submit(CellFixture.job(ID, GANG));
    fixture.run(250);
    fixture.workers.dropStarts("w3", false);
    fixture.startLeader();
    checkEnd(fixture);
  }

  @Test
  void completeGangContinuesUnderTheNextLeaderWhileAWorkerIsSilent() {
    CellFixture fixture = startedFixture();
    fixture.submit(CellFixture.job(ID, CellFixture.step(6, 8_000, 5_000, true, List.of())));
    fixture.run(500);
    fixture.workers.disconnect("w3", true);
    fixture.startLeader();
    fixture.run(3_500);
    fixture.workers.disconnect("w3", false);
    checkEnd(fixture);
    assertThat(fixture.workers.starts()).isEqualTo(6);
  }

  private static CellFixture startedFixture() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    return fixture;
  }

  private static void submitAndCheck(CellFixture fixture) {
    fixture.submit(CellFixture.job(ID, GANG));
    checkEnd(fixture);
  }

  private static void checkEnd(CellFixture fixture) {
    fixture.run(12_000);
    assertThat(fixture.workers.aloneEnds()).isEmpty();
    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
  }
}
