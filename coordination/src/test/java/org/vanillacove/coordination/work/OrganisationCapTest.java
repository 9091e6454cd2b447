package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.OrganisationTable;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.StepSpec;

/** Tests that what an organisation has running stays under its cap, also beside failures. */
class OrganisationCapTest {
  private static final String FIRST = "00000000000000a1";
  private static final String SECOND = "00000000000000a2";
  private static final String OTHER = "00000000000000b1";
  private static final String NAME = "acme";
  private static final Resources CAP = new Resources(8_000, 0, 0);

  /** What befalls the runs that use the whole cap, before another job is submitted. */
  private enum Failure {
    NONE,
    /** The answers to their start commands are lost. */
    ANSWERS_LOST,
    /** The start commands take effect late. */
    STARTS_LATE,
    /** Their workers are cut off, and the runs go on. */
    CUT_OFF,
    /** Another host leads; it finds the runs. */
    LEADER_CHANGED,
    /** Another host leads; the workers don't report to it. */
    LEADER_CHANGED_CUT_OFF,
    /** Another host leads that has read no configuration before the records. */
    LEADER_WITHOUT_CONFIGURATION,
    /** The job is cancelled, and another host leads before its runs have ended. */
    CANCELLED_LEADER_CHANGED,
    /** The job is cancelled while its workers are cut off. */
    CANCELLED_CUT_OFF,
    /** The organisation leaves the configuration. */
    ORGANISATION_REMOVED
  }

  @ParameterizedTest
  @EnumSource
  void startsStayUnderTheCap(Failure failure) {
    CellFixture fixture = fixture(CAP);
    if (failure == Failure.ANSWERS_LOST || failure == Failure.STARTS_LATE) {
      for (int i = 0; i < 6; i++) {
        fixture.workers.loseStartAnswers("w" + i, failure == Failure.ANSWERS_LOST);
        fixture.workers.delayStarts("w" + i, failure == Failure.STARTS_LATE ? 3 : 0);
      }
    }
    fixture.submit(job(FIRST, CellFixture.step(4, 2_000, 6_000, false, List.of())));
    fixture.timer.advance(100);
    fixture.run(failure == Failure.STARTS_LATE ? 0 : 400);
    List<String> holders = fixture.workers.workersOf(FIRST);
    fail(fixture, failure, holders);

    fixture.submit(job(SECOND, CellFixture.step(6, 2_000, 500, false, List.of())));
    fixture.submit(CellFixture.job(OTHER, CellFixture.step(2, 2_000, 500, false, List.of())));
    fixture.run(3_000);
    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(OTHER)).contains(JobView.COMPLETED);
    holders.forEach(worker -> fixture.workers.disconnect(worker, false));
    for (int i = 0; i < 6; i++) {
      fixture.workers.loseStartAnswers("w" + i, false);
    }
    fixture.run(40_000);
    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.cell().findJob(SECOND)).contains(JobView.COMPLETED);
  }

  private static void fail(CellFixture fixture, Failure failure, List<String> holders) {
    switch (failure) {
      case CUT_OFF -> holders.forEach(worker -> fixture.workers.disconnect(worker, true));
      case LEADER_CHANGED -> fixture.startLeader();
      case LEADER_CHANGED_CUT_OFF -> {
        holders.forEach(worker -> fixture.workers.disconnect(worker, true));
        fixture.startLeader();
      }
      case LEADER_WITHOUT_CONFIGURATION -> {
        fixture.startLeaderWithoutConfiguration();
        fixture.configure();
      }
      case CANCELLED_LEADER_CHANGED -> {
        holders.forEach(worker -> fixture.workers.delayCommands(worker, true));
        cancel(fixture);
        fixture.startLeader();
        holders.forEach(worker -> fixture.workers.delayCommands(worker, false));
      }
      case CANCELLED_CUT_OFF -> {
        holders.forEach(worker -> fixture.workers.disconnect(worker, true));
        cancel(fixture);
      }
      case ORGANISATION_REMOVED -> {
        fixture.configureOrganisations(OrganisationTable.NONE);
        fixture.workers.organisations(table(CAP));
      }
      default -> {
        // The commands fail already.
      }
    }
  }

  private static void cancel(CellFixture fixture) {
    fixture.cancel(FIRST);
    fixture.timer.advance(50);
  }

  // A worker that is cut off and not in the directory may run as much as its record says.
  @ParameterizedTest
  @CsvSource({"8000,0", "9000,1", "10000,2", "48000,6"})
  void recordedCapacityBoundsAWorkerThatLeftTheDirectory(long cap, int started) {
    CellFixture fixture = fixture(new Resources(cap, 0, 0));
    fixture.workers.disconnect("w0", true);
    fixture.workers.list("w0", false);
    fixture.startLeader();
    fixture.run(500);
    fixture.submit(job(FIRST, CellFixture.step(6, 1_000, 3_000, false, List.of())));
    fixture.run(1_000);
    assertThat(fixture.workers.starts()).isEqualTo(started);
    fixture.run(20_000);
    assertThat(fixture.cell().findJob(FIRST)).contains(JobView.COMPLETED);
  }

  @ParameterizedTest
  @CsvSource({"4000,0,0,2", "0,2500,0,2", "0,0,3,3", "5000,1000,0,1", "0,0,0,12"})
  void eachComponentIsALimit(long cpu, long memory, int accelerators, int running) {
    CellFixture fixture = fixture(new Resources(cpu, memory, accelerators));
    fixture.workers.add("gpu", new Resources(64_000, 64_000, 16), "r9");
    fixture.run(1_000);
    fixture.submit(job(FIRST, accelerated(12)));
    fixture.run(500);
    assertThat(fixture.workers.running()).isEqualTo(running);
    fixture.run(60_000);
    assertThat(fixture.cell().findJob(FIRST)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private static StepSpec accelerated(int count) {
    StepSpec plain = CellFixture.step(count, 2_000, 2_000, false, List.of());
    return new StepSpec(
        count,
        new Resources(2_000, 1_000, 1),
        plain.estimateMillis(),
        plain.after(),
        false,
        false,
        false,
        plain.requiredLabel(),
        plain.dataRack(),
        0);
  }

  @ParameterizedTest
  @ValueSource(longs = {2_000, 4_000, 6_000})
  void loweredCapCountsAtOnce(long lowered) {
    CellFixture fixture = fixture(CAP);
    fixture.submit(job(FIRST, CellFixture.step(12, 2_000, 3_000, false, List.of())));
    fixture.run(500);
    assertThat(fixture.workers.used(NAME)).isEqualTo(new Resources(8_000, 4_000, 0));
    fixture.configureOrganisations(table(new Resources(lowered, 0, 0)));
    fixture.run(4_000);
    assertThat(fixture.workers.used(NAME).cpuMillis()).isEqualTo(lowered);
    fixture.configureOrganisations(table(CAP));
    fixture.run(500);
    assertThat(fixture.workers.used(NAME).cpuMillis()).isEqualTo(8_000);
    fixture.run(20_000);
    assertThat(fixture.cell().findJob(FIRST)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  // A gang behind many small tasks of its organisation gets its turn, and starts whole.
  @Test
  void gangIsNotStarvedByItsOwnOrganisation() {
    CellFixture fixture = fixture(CAP);
    String gang = "00000000000000c1";
    fixture.submit(job(FIRST, CellFixture.step(8, 1_000, 700, false, List.of())));
    fixture.run(500);
    fixture.submit(job(gang, CellFixture.step(2, 2_000, 500, true, List.of())));
    for (int i = 0; i < 20; i++) {
      String id = String.format("%016x", 0xd00 + i);
      fixture.submit(job(id, CellFixture.step(2, 1_000, 650 + 90 * (i % 3), false, List.of())));
      fixture.run(250);
    }
    assertThat(fixture.cell().findJob(gang)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.aloneEnds()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "1,8000,false,true",
    "1,8001,false,false",
    "9,1000,false,true",
    "8,1000,true,true",
    "9,1000,true,false"
  })
  void jobThatNeverFitsIsRejected(int count, long cpu, boolean gang, boolean accepted) {
    CellFixture fixture = fixture(CAP);
    fixture.submit(
        job(
            FIRST,
            CellFixture.step(1, 1_000, 500, false, List.of()),
            CellFixture.step(count, cpu, 500, gang, List.of(0))));
    fixture.run(500);
    assertThat(fixture.isAccepted(FIRST)).isEqualTo(accepted);
    if (!accepted) {
      assertThat(fixture.outcomes.get(FIRST))
          .isInstanceOfSatisfying(
              SubmitOutcome.Rejected.class,
              rejected -> {
                assertThat(rejected.message()).contains("cap of cpu").contains("limit of 8000");
                assertThat(rejected.retryAfter().toMinutes()).isPositive();
              });
      assertThat(fixture.cell().findJob(FIRST)).isEmpty();
    }
  }

  private static CellFixture fixture(Resources cap) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.configureOrganisations(table(cap));
    fixture.run(1_000);
    return fixture;
  }

  private static OrganisationTable table(Resources cap) {
    return new OrganisationTable(List.of(CellFixture.organisation(NAME, 1, cap)));
  }

  private static JobSpec job(String id, StepSpec... steps) {
    return CellFixture.job(id, steps).ofOrganisation(NAME);
  }
}
