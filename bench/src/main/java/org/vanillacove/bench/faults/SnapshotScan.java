package org.vanillacove.bench.faults;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;

/** Finds the complete snapshots in an in-memory log. */
final class SnapshotScan {
  private SnapshotScan() {}

  /** Returns the first offset that the newest complete snapshot does not cover, or zero. */
  static long firstUncoveredOffset(MemoryLog log) {
    Map<String, Integer> chunks = new HashMap<>();
    long covered = log.oldestOffset();
    var read = log.read(log.oldestOffset(), Integer.MAX_VALUE).join();
    if (read instanceof ReadOutcome.Batch batch) {
      for (ByteString bytes : batch.records()) {
        Optional<CellRecord> record = RecordCodec.decode(bytes).map(RecordEnvelope::record);
        if (record.isPresent() && record.get() instanceof CellRecord.SnapshotChunk chunk) {
          int have = chunks.merge(chunk.snapshotId() + "/" + chunk.index(), 1, Integer::sum);
          int all = have > 1 ? 0 : chunks.merge(chunk.snapshotId(), 1, Integer::sum);
          if (all == chunk.count()) {
            covered = Math.max(covered, chunk.throughOffset() + 1);
          }
        }
      }
    }
    return covered;
  }
}
