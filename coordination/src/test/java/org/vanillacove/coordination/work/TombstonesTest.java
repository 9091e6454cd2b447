package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.CancelOutcome;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.coordination.work.api.SubmitOutcome;
import org.vanillacove.state.work.JobSpec;

/** Checks what the cancellation of an unknown job promises, and when it promises nothing. */
class TombstonesTest {
  private static final String ID = "00000000000000a1";
  private static final String FIRST = "00000000000000a2";
  private static final String KEY = TombstoneRecords.PREFIX + ID;

  private final CellFixture fixture = new CellFixture(1, false);

  private static JobSpec job(String id) {
    return CellFixture.job(id, CellFixture.step(1, 1_000, 300, false, List.of()));
  }

  private static String id(int number) {
    return String.format("%016x", 0xb0000 + number);
  }

  private static Optional<String> organisation(String name) {
    return Optional.of(name).filter(each -> !each.isEmpty());
  }

  private void start() {
    fixture.startLeader();
    fixture.run(1_000);
  }

  @ParameterizedTest
  @CsvSource({
    "REJECTS, REJECTED",
    "UNRESPONSIVE, UNKNOWN",
    "RESPONSE_LOST, UNKNOWN",
    "APPLIED_LATE, UNKNOWN"
  })
  void cancellationIsNotAcknowledgedWhileItIsNotStored(
      FakeStore.Fault fault, CancelOutcome outcome) {
    start();
    fixture.store.fault(fault);
    fixture.cancel(ID);
    fixture.run(2_000);
    assertThat(fixture.cancelled(ID)).contains(outcome);
  }

  @ParameterizedTest
  @ValueSource(strings = {"UNRESPONSIVE", "RESPONSE_LOST", "APPLIED_LATE"})
  void repeatedCancellationIsAcknowledgedOnceItIsStored(FakeStore.Fault fault) {
    start();
    fixture.store.fault(fault);
    fixture.cancel(ID);
    fixture.run(2_000);
    fixture.cancel(ID);
    fixture.store.fault(FakeStore.Fault.NONE);
    fixture.run(3_000);
    fixture.cancel(ID);
    fixture.run(1_000);
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.NO_SUCH_JOB);
    assertThat(fixture.store.holds(KEY)).isTrue();
  }

  // A caller that was told "not stored" may submit the job under the same identifier.
  @Test
  void refusedCancellationLeavesTheIdentifierUsable() {
    start();
    fixture.store.fault(FakeStore.Fault.REJECTS);
    fixture.cancel(ID);
    fixture.run(2_000);
    fixture.store.fault(FakeStore.Fault.NONE);
    fixture.run(1_000);
    fixture.submit(job(ID));
    fixture.run(3_000);
    assertThat(fixture.isAccepted(ID)).isTrue();
  }

  @Test
  void cancellationDuringAnOutageIsRefusedAtOnce() {
    start();
    fixture.store.fault(FakeStore.Fault.UNRESPONSIVE);
    fixture.submit(job(FIRST));
    fixture.run(1_500);
    fixture.cancel(ID);
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.REJECTED);
  }

  @Test
  void callersAreAnsweredWhenTheTermEnds() {
    start();
    fixture.cancel(ID);
    fixture.cell().close();
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.TERM_ENDED);
  }

  // The former leader's store refuses its append, so that the next leader decides.
  @Test
  void callersOfAFencedLeaderAreToldThatItsTermEnded() {
    start();
    fixture.store.open(99);
    fixture.cancel(ID);
    fixture.run(250);
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.TERM_ENDED);
  }

  @ParameterizedTest
  @CsvSource({"'',acme", "acme,''", "acme,other"})
  void otherOrganisationsMayUseTheIdentifier(String caller, String submitter) {
    start();
    fixture.cell().cancel(ID, organisation(caller), outcome -> {});
    fixture.run(500);
    fixture.startLeader();
    JobSpec spec = organisation(submitter).map(job(ID)::ofOrganisation).orElse(job(ID));
    fixture.submit(spec);
    fixture.run(3_000);
    assertThat(fixture.isAccepted(ID)).isTrue();
  }

  @Test
  void cancellationOfAnotherOrganisationsJobDoesNotTouchIt() {
    start();
    fixture.submit(job(ID).ofOrganisation("acme"));
    fixture.run(250);
    fixture.cell().cancel(ID, Optional.of("other"), outcome -> {});
    fixture.run(3_000);
    assertThat(fixture.workers.starts()).isEqualTo(1);
    fixture.submit(job(ID).ofOrganisation("acme"));
    assertThat(fixture.isAccepted(ID)).isTrue();
  }

  // A rejected copy of a submission says nothing about the copies that are still on their way.
  @Test
  void cancellationDuringARejectedAcceptanceIsRefusedOrStored() {
    start();
    fixture.store.fault(FakeStore.Fault.REJECTS);
    fixture.submit(job(ID));
    fixture.cancel(ID);
    fixture.run(2_000);
    assertThat(fixture.outcomes.get(ID)).isInstanceOf(SubmitOutcome.Rejected.class);
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.REJECTED);
  }

  @Test
  void cancellationBeyondTheMaximumIsRefused() {
    start();
    for (int i = 0; i < Tombstones.MAX_TOMBSTONES; i++) {
      fixture.cancel(id(i));
    }
    fixture.cancel(ID);
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.REJECTED);
    fixture.run(5_000);
    assertThat(fixture.cancelled(id(0))).contains(CancelOutcome.NO_SUCH_JOB);
    assertThat(fixture.cancelled(id(Tombstones.MAX_TOMBSTONES - 1)))
        .contains(CancelOutcome.NO_SUCH_JOB);
    fixture.run(CellFixture.STATUS_MILLIS + 12_000);
    fixture.cancel(ID);
    fixture.run(500);
    assertThat(fixture.cancelled(ID)).contains(CancelOutcome.NO_SUCH_JOB);
  }

  @ParameterizedTest
  @CsvSource({"false, 100000, true", "false, 140000, false", "true, 140000, true"})
  void tombstoneIsDeletedAfterItsRetentionTime(boolean repeated, long millis, boolean kept) {
    start();
    fixture.cancel(ID);
    fixture.run(60_000);
    if (repeated) {
      fixture.cancel(ID);
    }
    fixture.run(millis - 60_000);
    assertThat(fixture.store.holds(KEY)).isEqualTo(kept);
  }

  @Test
  void malformedRecordIsSkipped() {
    start();
    fixture.cancel(ID);
    fixture.run(500);
    fixture.store.put(
        new KeyedRecord(
            TombstoneRecords.PREFIX + FIRST, ByteString.copyFromUtf8("not a tombstone")));
    fixture.startLeader();
    fixture.submit(job(ID));
    assertThat(fixture.outcomes.get(ID)).isInstanceOf(SubmitOutcome.Cancelled.class);
  }
}
