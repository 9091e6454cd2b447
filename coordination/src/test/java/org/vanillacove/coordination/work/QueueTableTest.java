package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.state.work.QueuePolicy;

/** Tests the records of the last policies of queues. */
class QueueTableTest {
  private static final String ID = "00000000000000a1";
  private static final String KEY = QueueRecords.key(CellFixture.QUEUE);
  private static final int MAX_KEY_BYTES = 255;

  @ParameterizedTest
  @CsvSource({"q,true", "q,false", "'',true", "planos de inspeção,true"})
  void policySurvivesItsRecord(String queue, boolean advised) {
    QueuePolicy policy = new CellFixture(1, advised).queue("now", "host/path/", "pool");
    assertThat(QueueRecords.parse(QueueRecords.encode(queue, policy)))
        .contains(new QueueRecords.LastPolicy(queue, policy));
  }

  @Test
  void keyOfALongNameFitsTheStore() {
    String key = QueueRecords.key("ção".repeat(MAX_KEY_BYTES));
    assertThat(key.getBytes(StandardCharsets.UTF_8).length).isLessThan(MAX_KEY_BYTES);
    assertThat(key).isNotEqualTo(QueueRecords.key("ção".repeat(MAX_KEY_BYTES - 1)));
  }

  // The record comes before the first job, and once for each policy.
  @Test
  void policyIsRecordedBeforeItsJobs() {
    CellFixture fixture = fixture();
    submit(fixture, ID);
    submit(fixture, "00000000000000a2");
    fixture.run(250);
    assertThat(fixture.store.writtenKeys().indexOf(KEY))
        .isNotNegative()
        .isLessThan(fixture.store.writtenKeys().indexOf(JobRecords.JOB + ID));
    fixture.configure();
    fixture.startLeader();
    fixture.run(250);
    assertThat(fixture.store.writtenKeys()).containsOnlyOnce(KEY);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void recordOfRemovedQueueIsDroppedWithItsLastJob(boolean newLeader) {
    CellFixture fixture = fixture();
    submit(fixture, ID);
    fixture.run(250);
    fixture.configure(List.of());
    if (newLeader) {
      fixture.startLeader();
    }
    fixture.run(250);
    assertThat(fixture.store.holds(KEY)).isTrue();
    fixture.run(6_000);
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
    assertThat(fixture.store.holds(KEY)).isFalse();

    fixture.configure(
        List.of(fixture.queue(CellFixture.QUEUE, CellFixture.ADDRESS, CellFixture.SERVICE)));
    submit(fixture, "00000000000000a2");
    fixture.run(250);
    assertThat(fixture.store.holds(KEY)).isTrue();
  }

  @Test
  void changedPolicyOfAnOpenQueueIsRecorded() {
    CellFixture fixture = fixture();
    submit(fixture, ID);
    fixture.run(250);
    fixture.configure(List.of(fixture.queue("renamed", CellFixture.ADDRESS, "other")));
    fixture.run(250);
    QueuePolicy last = QueueRecords.parse(fixture.store.record(KEY).value()).orElseThrow().policy();
    assertThat(last.name()).isEqualTo("renamed");
    assertThat(last.service()).isEqualTo("other");
  }

  @ParameterizedTest
  @ValueSource(strings = {"nonsense", "\u0001"})
  void malformedRecordIsSkipped(String value) {
    CellFixture fixture = fixture();
    submit(fixture, ID);
    fixture.run(250);
    fixture.store.put(new KeyedRecord(QueueRecords.PREFIX + "odd", ByteString.copyFromUtf8(value)));
    fixture.startLeader();
    fixture.run(6_000);
    assertThat(QueueRecords.parse(ByteString.copyFromUtf8(value))).isEqualTo(Optional.empty());
    assertThat(fixture.cell().findJob(ID)).contains(JobView.COMPLETED);
  }

  private static CellFixture fixture() {
    CellFixture fixture = new CellFixture(1, false);
    fixture.startLeader();
    fixture.run(1_000);
    return fixture;
  }

  private static void submit(CellFixture fixture, String id) {
    fixture.submit(CellFixture.job(id, CellFixture.step(2, 1_000, 1_000, false, List.of())));
  }
}
