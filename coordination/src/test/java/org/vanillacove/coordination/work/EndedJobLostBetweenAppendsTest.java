package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.KeyedRecord;

/**
 * Guards against an ended job that is unknown, or runs again, after its leader was lost between the
 * two appends that record its end.
 */
class EndedJobLostBetweenAppendsTest {
  private static final String ID = "00000000000000a1";

  @Test
  void outcomeIsWrittenBeforeTheJobIsDropped() {
    CellFixture fixture = startedFixture();
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 300, false, List.of())));
    fixture.run(3_000);
    List<String> written = fixture.store.writtenKeys();
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(written.lastIndexOf(JobRecords.PROGRESS + ID))
        .isLessThan(written.lastIndexOf(JobRecords.JOB + ID));
  }

  @Test
  void jobWithARecordedOutcomeDoesNotRunAgain() {
    CellFixture fixture = startedFixture();
    fixture.submit(CellFixture.job(ID, CellFixture.step(1, 1_000, 300, false, List.of())));
    fixture.run(250);
    KeyedRecord job = fixture.store.record(JobRecords.JOB + ID);
    fixture.run(3_000);
    EndedJobs.Ended ended = new EndedJobs.Ended(ID, TrackedJob.Stage.COMPLETED, 0);
    EndedJobs.Bundle bundle = new EndedJobs.Bundle(List.of(ended));
    fixture.store.put(job);
    fixture.store.put(new KeyedRecord(bundle.key(), JobRecords.ended(bundle)));
    fixture.store.remove(JobRecords.PROGRESS + ID);

    fixture.startLeader();
    fixture.run(3_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.workers.starts()).isEqualTo(1);
    assertThat(fixture.store.holds(JobRecords.JOB + ID)).isFalse();
  }

  private static CellFixture startedFixture() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    return fixture;
  }
}
