package org.vanillacove.coordination.stream;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellDigest;

/** Tests {@link DigestComparator} with the readers of three hosts; h0 is the leader. */
class DigestComparatorTest {
  private static final int DAMAGED_OFFSET = 4;
  private final MemoryLog log = new MemoryLog();
  private final ManualTimerService timer = new ManualTimerService(0);
  private final List<CellStore> stores = new ArrayList<>();
  private long sequence;
  private int damagedReads;

  @Test
  void divergedLeaderReloadsItsState() {
    startHosts(0);
    assertThat(distinctDigests()).hasSize(2);
    long leaderDigest = stores.getFirst().digestAt(CellStore.DIGEST_INTERVAL - 1).orElseThrow();
    append("h0", 1, new CellRecord.StateDigest(CellStore.DIGEST_INTERVAL - 1, leaderDigest));
    timer.advance(3_000);

    assertThat(distinctDigests()).hasSize(1);
  }

  @Test
  void leaderIgnoresSingleObjection() {
    startHosts(1);
    int[] reloads = new int[1];
    stores
        .getFirst()
        .addListener(
            new RecordListener() {
              @Override
              public void recordApplied(
                  long offset, RecordEnvelope envelope, ApplyOutcome outcome) {}

              @Override
              public void stateReplaced() {
                reloads[0]++;
              }
            });
    append("h1", 0, new CellRecord.StateDigest(CellStore.DIGEST_INTERVAL - 1, 17));
    timer.advance(3_000);

    assertThat(reloads[0]).isZero();
  }

  private List<Long> distinctDigests() {
    return stores.stream().map(store -> store.read(CellDigest::of)).distinct().toList();
  }

  /** Starts three hosts; one of them reads a damaged record once and so diverges. */
  private void startHosts(int divergedHost) {
    append("h0", 1, new CellRecord.LeaderClaimed("h0"));
    for (int i = 0; i < 3; i++) {
      append("h" + i, 0, new CellRecord.HostJoined(host(i)));
    }
    while (log.endOffset() < CellStore.DIGEST_INTERVAL) {
      append("h0", 0, new CellRecord.ConfigurationChanged(0, "{}", "op", "why"));
    }
    for (int i = 0; i < 3; i++) {
      CellStore store = new CellStore();
      String id = "h" + i;
      PlatformLog hostLog = i == divergedHost ? new DamagedLog() : log;
      StreamReader reader = new StreamReader(id, hostLog, store, timer, CellTimings.DEFAULTS);
      reader.onObjection(digest -> append(id, 0, digest));
      stores.add(store);
      reader.start();
    }
    timer.advance(3_000);
  }

  private static HostSpec host(int i) {
    return new HostSpec("h" + i, "127.0.0.1:" + i, new AvailabilityZone("attica", "attica-a"));
  }

  private void append(String author, long epoch, CellRecord record) {
    String proposal = author + "-x:" + ++sequence;
    log.append(List.of(RecordCodec.encode(new RecordEnvelope(proposal, epoch, author, record))));
  }

  /** Log that returns one record damaged on the first read. */
  private final class DamagedLog implements PlatformLog {
    @Override
    public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
      return log.append(records);
    }

    @Override
    public CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
      return log.read(fromOffset, maxRecords).thenApply(this::damage);
    }

    private ReadOutcome damage(ReadOutcome outcome) {
      if (outcome instanceof ReadOutcome.Batch batch) {
        int index = (int) (DAMAGED_OFFSET - batch.firstOffset());
        if (index >= 0 && index < batch.records().size() && damagedReads++ == 0) {
          List<ByteString> records = new ArrayList<>(batch.records());
          records.set(index, ByteString.copyFromUtf8("damaged"));
          return new ReadOutcome.Batch(batch.firstOffset(), records, batch.endOffset());
        }
      }
      return outcome;
    }
  }
}
