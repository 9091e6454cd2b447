package org.vanillacove.coordination.stream;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.protocol.record.SnapshotCodec;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.CellSnapshot;

/** Searches the log backwards from its end for the newest complete snapshot. */
final class SnapshotFinder {
  /** Number of records read per step backwards. */
  static final int WINDOW_RECORDS = 2_000;

  /** Log that holds the records of the cell. */
  private final PlatformLog log;

  /** Oldest offset that the log still holds. */
  private final long oldestOffset;

  /** Chunks found so far by snapshot identifier and chunk index. */
  private final Map<String, TreeMap<Integer, CellRecord.SnapshotChunk>> chunksBySnapshot =
      new HashMap<>();

  SnapshotFinder(PlatformLog log, long oldestOffset) {
    this.log = log;
    this.oldestOffset = oldestOffset;
  }

  /** Returns the newest usable snapshot before {@code endOffset}, empty if there is none. */
  CompletableFuture<Optional<CellSnapshot>> findBefore(long endOffset) {
    long from = Math.max(oldestOffset, endOffset - WINDOW_RECORDS);
    if (from >= endOffset) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return collectChunks(from, endOffset)
        .thenCompose(
            complete -> {
              if (!complete) {
                return CompletableFuture.completedFuture(Optional.empty());
              }
              Optional<CellSnapshot> snapshot = newestComplete();
              return snapshot.isPresent()
                  ? CompletableFuture.completedFuture(snapshot)
                  : findBefore(from);
            });
  }

  private CompletableFuture<Boolean> collectChunks(long from, long to) {
    return log.read(from, (int) (to - from))
        .thenCompose(
            outcome -> {
              if (!(outcome instanceof ReadOutcome.Batch batch) || batch.records().isEmpty()) {
                return CompletableFuture.completedFuture(false);
              }
              batch.records().forEach(this::addChunk);
              long next = batch.firstOffset() + batch.records().size();
              return next >= to ? CompletableFuture.completedFuture(true) : collectChunks(next, to);
            });
  }

  private void addChunk(ByteString bytes) {
    Optional<RecordEnvelope> envelope = RecordCodec.decode(bytes);
    if (envelope.isPresent() && envelope.get().record() instanceof CellRecord.SnapshotChunk chunk) {
      chunksBySnapshot
          .computeIfAbsent(chunk.snapshotId(), id -> new TreeMap<>())
          .put(chunk.index(), chunk);
    }
  }

  private Optional<CellSnapshot> newestComplete() {
    Optional<CellSnapshot> newest = Optional.empty();
    for (TreeMap<Integer, CellRecord.SnapshotChunk> chunks : chunksBySnapshot.values()) {
      CellRecord.SnapshotChunk last = chunks.lastEntry().getValue();
      boolean usable = chunks.size() == last.count() && last.throughOffset() + 1 >= oldestOffset;
      boolean newer = newest.isEmpty() || last.throughOffset() + 1 > newest.get().nextOffset();
      if (usable && newer) {
        Optional<CellSnapshot> decoded = SnapshotCodec.decode(List.copyOf(chunks.values()));
        newest = decoded.isPresent() ? decoded : newest;
      }
    }
    return newest;
  }
}
