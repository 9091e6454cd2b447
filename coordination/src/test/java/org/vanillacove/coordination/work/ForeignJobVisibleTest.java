package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.state.work.JobSpec;

/** Guards against jobs that another organisation can see, cancel or repeat. */
class ForeignJobVisibleTest {
  private static final String ID = "00000000000000a1";
  private static final Optional<String> OWNER = Optional.of("acme");
  private static final Optional<String> OTHER = Optional.of("other");

  private final CellFixture fixture = new CellFixture(1, false);

  /** Where the owner of the job is kept. */
  private enum Age {
    RUNNING(250),
    ENDED(2_000),
    BUNDLED(6_000);

    /** Time after the submission, in milliseconds. */
    private final long millis;

    Age(long millis) {
      this.millis = millis;
    }
  }

  private static JobSpec job(String id) {
    return CellFixture.job(id, CellFixture.step(1, 1_000, 300, false, List.of()));
  }

  private void submitAndAge(Age age) {
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(job(ID).ofOrganisation("acme"));
    // Enough others to fill a bundle with the job.
    for (int i = 1; i < EndedJobs.BUNDLE_SIZE; i++) {
      fixture.submit(job(String.format("%016x", 0xb00 + i)).ofOrganisation("acme"));
    }
    fixture.run(age.millis);
  }

  private SubmitOutcome submit(JobSpec spec) {
    fixture.cell().submit(spec, outcome -> fixture.outcomes.put("again", outcome));
    fixture.run(500);
    return fixture.outcomes.get("again");
  }

  @ParameterizedTest
  @EnumSource(Age.class)
  void jobIsHiddenFromOtherOrganisations(Age age) {
    submitAndAge(age);
    assertHidden();
    assertThat(fixture.cell().findJob(ID).orElseThrow() == JobView.COMPLETED)
        .isEqualTo(age != Age.RUNNING);
  }

  // The acceptance is dropped at the end, and the record of the end once it is bundled.
  @ParameterizedTest
  @EnumSource(Age.class)
  void newLeaderKeepsTheOwner(Age age) {
    submitAndAge(age);
    fixture.startLeader();
    fixture.run(500);
    assertHidden();
    if (age == Age.BUNDLED) {
      assertThat(fixture.store.holds(JobRecords.PROGRESS + ID)).isFalse();
    }
  }

  private void assertHidden() {
    assertThat(fixture.cell().findJob(ID)).isPresent();
    assertThat(fixture.cell().isHidden(ID, OWNER)).isFalse();
    assertThat(fixture.cell().isHidden(ID, OTHER)).isTrue();
    assertThat(fixture.cell().isHidden(ID, Optional.empty())).isTrue();
  }

  @ParameterizedTest
  @EnumSource(Age.class)
  void identifierOfAnotherOrganisationIsRejected(Age age) {
    submitAndAge(age);
    assertThat(submit(job(ID).ofOrganisation("other"))).isInstanceOf(SubmitOutcome.Rejected.class);
    assertThat(submit(job(ID))).isInstanceOf(SubmitOutcome.Rejected.class);
    assertThat(submit(job(ID).ofOrganisation("acme"))).isInstanceOf(SubmitOutcome.Accepted.class);
  }

  @ParameterizedTest
  @CsvSource({"acme", "''"})
  void jobWithoutAnOrganisationIsShownToAll(String caller) {
    fixture.startLeader();
    fixture.run(1_000);
    fixture.submit(job(ID));
    fixture.run(2_000);
    Optional<String> organisation = Optional.of(caller).filter(name -> !name.isEmpty());
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.cell().isHidden(ID, organisation)).isFalse();
    assertThat(submit(job(ID).ofOrganisation("acme"))).isInstanceOf(SubmitOutcome.Accepted.class);
  }

  @Test
  void unknownJobIsHiddenFromNobody() {
    fixture.startLeader();
    assertThat(fixture.cell().isHidden(ID, OTHER)).isFalse();
  }
}
