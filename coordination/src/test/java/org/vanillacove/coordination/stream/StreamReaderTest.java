package org.vanillacove.coordination.stream;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellState;

/** Tests {@link StreamReader} with a log in memory and a manual clock. */
class StreamReaderTest {
  private final MemoryLog log = new MemoryLog();
  private final ManualTimerService timer = new ManualTimerService(0);
  private final CellStore store = new CellStore();
  private final StreamReader reader =
      new StreamReader("h2", log, store, timer, CellTimings.DEFAULTS);
  private int reloads;

  @Test
  void differentDigestReloadsTheState() {
    countReloads();
    fillUpToDigest();
    long own = store.digestAt(CellStore.DIGEST_INTERVAL - 1).orElseThrow();
    append(new CellRecord.StateDigest(CellStore.DIGEST_INTERVAL - 1, own + 1), 10_000);
    timer.advance(1_000);

    assertThat(reloads).isEqualTo(1);
    assertThat((long) store.read(CellState::nextOffset)).isEqualTo(log.endOffset());
  }

  @Test
  void equalDigestDoesNotReloadTheState() {
    countReloads();
    fillUpToDigest();
    long own = store.digestAt(CellStore.DIGEST_INTERVAL - 1).orElseThrow();
    append(new CellRecord.StateDigest(CellStore.DIGEST_INTERVAL - 1, own), 10_000);
    timer.advance(1_000);

    assertThat(reloads).isZero();
  }

  @Test
  void unreadableRecordIsSkipped() {
    log.append(List.of(ByteString.copyFromUtf8("not a record")));
    append(new CellRecord.LeaderClaimed("h1"), 1);
    reader.start();

    assertThat(store.epoch()).isEqualTo(1);
  }

  @Test
  void ownRecordsAreAppliedInOrderWithoutReadingThemBack() {
    append(new CellRecord.LeaderClaimed("h1"), 1);
    reader.start();
    append(new CellRecord.ConfigurationChanged(0, "{}", "other", "first"), 2);
    ByteString own = record(new CellRecord.ConfigurationChanged(1, "{}", "own", "second"), 3);
    log.append(List.of(own));
    reader.appended(2, List.of(own));

    assertThat((long) store.read(CellState::nextOffset)).isEqualTo(3);
    assertThat(store.configurationVersion()).isEqualTo(2);
    log.setFault(MemoryLog.Fault.SILENT);
    ByteString next = record(new CellRecord.ConfigurationChanged(2, "{}", "own", "third"), 4);
    reader.appended(3, List.of(next));

    assertThat(store.configurationVersion()).isEqualTo(3);
  }

  @Test
  void ownRecordsAreNotAppliedBeforeTheFirstRead() {
    append(new CellRecord.LeaderClaimed("h1"), 1);
    log.setFault(MemoryLog.Fault.SILENT);
    reader.start();
    reader.appended(0, List.of(record(new CellRecord.LeaderClaimed("h1"), 1)));

    assertThat(store.epoch()).isZero();
    log.setFault(MemoryLog.Fault.NONE);
    timer.advance(1_000);
    assertThat(store.epoch()).isEqualTo(1);
  }

  private void fillUpToDigest() {
    for (int i = 1; i <= CellStore.DIGEST_INTERVAL; i++) {
      append(new CellRecord.ConfigurationChanged(0, "{}", "op", "why"), i);
    }
    reader.start();
    timer.advance(1_000);
  }

  private void append(CellRecord record, long sequence) {
    log.append(List.of(record(record, sequence)));
  }

  private static ByteString record(CellRecord record, long sequence) {
    long epoch = record instanceof CellRecord.LeaderClaimed ? 1 : 0;
    return RecordCodec.encode(new RecordEnvelope("h1-x:" + sequence, epoch, "h1", record));
  }

  private void countReloads() {
    store.addListener(
        new RecordListener() {
          @Override
          public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {}

          @Override
          public void stateReplaced() {
            reloads++;
          }
        });
  }
}
