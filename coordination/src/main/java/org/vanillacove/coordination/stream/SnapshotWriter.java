package org.vanillacove.coordination.stream;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.protocol.record.SnapshotCodec;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;

/** Writes snapshots in chunks, and digests, to the log while this host leads. */
public final class SnapshotWriter {
  /** Number of records after which a snapshot is due before its interval has passed. */
  static final long MAX_RECORDS = 20_000;

  /** Minimum number of new records for a snapshot when its interval has passed. */
  private static final long MIN_RECORDS = 50;

  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Appends records to the log. */
  private final StreamWriter writer;

  /** Clock and timers. */
  private final TimerService timer;

  /** Configured intervals and timeouts. */
  private final CellTimings timings;

  /** Chunks of the newest snapshot that are not written yet. */
  private final ArrayDeque<CellRecord.SnapshotChunk> chunks = new ArrayDeque<>();

  /** Monotonic time of the newest snapshot in milliseconds. */
  private long snapshotAtMillis;

  /** Offset after the newest record in the newest snapshot. */
  private long snapshotThrough;

  /** Offset covered by the newest written digest, -1 before the first. */
  private long digestThrough = -1;

  /** Creates a writer whose first snapshot interval begins now. */
  public SnapshotWriter(
      CellStore store, StreamWriter writer, TimerService timer, CellTimings timings) {
    this.store = store;
    this.writer = writer;
    this.timer = timer;
    this.timings = timings;
    this.snapshotAtMillis = timer.monotonicMillis();
  }

  /** Writes what is due: at most one chunk and one digest per call. */
  public void writeDue(long epoch) {
    writeDigest(epoch);
    if (chunks.isEmpty()) {
      encodeIfDue(epoch);
    }
    Optional.ofNullable(chunks.poll()).ifPresent(chunk -> writer.write(epoch, chunk));
  }

  /** Discards an unfinished snapshot and restarts the interval, at the start of a term. */
  public void reset() {
    chunks.clear();
    snapshotAtMillis = timer.monotonicMillis();
  }

  private void encodeIfDue(long epoch) {
    long next = store.read(state -> state.nextOffset());
    long records = next - snapshotThrough;
    boolean intervalPassed =
        timer.monotonicMillis() - snapshotAtMillis >= timings.snapshot().toMillis()
            && records >= MIN_RECORDS;
    if (intervalPassed || records >= MAX_RECORDS) {
      String id = writer.writerId() + "-" + epoch + "-" + next;
      chunks.addAll(SnapshotCodec.encode(id, store.snapshot()));
      snapshotAtMillis = timer.monotonicMillis();
      snapshotThrough = next;
    }
  }

  private void writeDigest(long epoch) {
    for (Map.Entry<Long, Long> digest : store.newestDigest().entrySet()) {
      if (digest.getKey() > digestThrough) {
        digestThrough = digest.getKey();
        writer.write(epoch, new CellRecord.StateDigest(digest.getKey(), digest.getValue()));
      }
    }
  }
}
