package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.Organisation;
import org.vanillacove.state.tenancy.OrganisationTable;

/** Tests the order in which tasks of several organisations start when the workers are full. */
class OrganisationShareTest {
  private static final int SMALL_ORGANISATIONS = 20;

  // The hot organisation fills the workers for 20 s; a job of each other one comes after that.
  @ParameterizedTest
  @CsvSource({"true,true", "false,false"})
  void smallOrganisationsDoNotWaitForTheBacklogOfOne(boolean configured, boolean endsSoon) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    if (configured) {
      fixture.configureOrganisations(organisations());
    }
    fixture.run(1_000);
    for (int i = 0; i < 10; i++) {
      String id = String.format("%016x", 0xa00 + i);
      fixture.submit(
          CellFixture.job(id, CellFixture.step(48, 1_000, 2_000, false, List.of()))
              .ofOrganisation("hot"));
    }
    fixture.run(500);
    List<String> small = new ArrayList<>();
    for (int i = 0; i < SMALL_ORGANISATIONS; i++) {
      small.add(String.format("%016x", 0xb00 + i));
      fixture.submit(
          CellFixture.job(small.get(i), CellFixture.step(1, 1_000, 2_000, false, List.of()))
              .ofOrganisation("small" + i));
    }
    fixture.run(4_500);
    long ended =
        small.stream()
            .filter(id -> fixture.cell().findJob(id).equals(Optional.of(JobView.COMPLETED)))
            .count();
    assertThat(ended).isEqualTo(endsSoon ? SMALL_ORGANISATIONS : 0);
    assertThat(fixture.workers.violations()).isEmpty();
    fixture.run(30_000);
    assertThat(fixture.workers.running()).isZero();
    assertThat(fixture.workers.starts()).isEqualTo(480 + SMALL_ORGANISATIONS);
  }

  // The hot organisation sends 100 jobs a second at a weight of 10, and 28 of them fill 66 s, the
  // time that a job may wait.
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void excessIsRejectedBeforeOwedJobs(boolean configured) {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    if (configured) {
      fixture.configureOrganisations(organisations());
    }
    fixture.run(1_000);
    int rejected = 0;
    int rejectedOfOthers = 0;
    for (int i = 0; i < 200; i++) {
      String id = String.format("%016x", 0xa00 + i);
      fixture.submit(
          CellFixture.job(id, CellFixture.step(48, 1_000, 2_000, false, List.of()))
              .ofOrganisation("hot"));
      fixture.timer.advance(10);
      rejected += isBeyondWeight(fixture, id) ? 1 : 0;
      if (i % 10 == 0) {
        String other = String.format("%016x", 0xb00 + i);
        fixture.submit(
            CellFixture.job(other, CellFixture.step(1, 1_000, 2_000, false, List.of()))
                .ofOrganisation("small" + i / 10));
        fixture.timer.advance(10);
        rejectedOfOthers += fixture.isAccepted(other) ? 0 : 1;
      }
    }
    assertThat(rejected > 0).isEqualTo(configured);
    assertThat(rejectedOfOthers > 0).isEqualTo(!configured);
  }

  private static boolean isBeyondWeight(CellFixture fixture, String id) {
    return fixture.outcomes.get(id) instanceof SubmitOutcome.Rejected rejection
        && rejection.reason().equals("beyond weight");
  }

  private static OrganisationTable organisations() {
    List<Organisation> all = new ArrayList<>();
    all.add(CellFixture.organisation("hot", 10, Resources.NONE));
    for (int i = 0; i < SMALL_ORGANISATIONS; i++) {
      all.add(CellFixture.organisation("small" + i, 1, Resources.NONE));
    }
    return new OrganisationTable(all);
  }
}
