package org.vanillacove.coordination.stream;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.protocol.record.SnapshotCodec;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;

/** Writes snapshots chunk by chunk, and digests, while this host leads. */
public final class SnapshotWriter {
  /** Records after which a snapshot is due even if its interval has not passed. */
  static final long MAX_RECORDS = 20_000;

  /** Records below which no snapshot is written. */
  private static final long MIN_RECORDS = 50;

  /** The folded state. */
  private final CellStore store;

  /** Takes the records. */
  private final StreamWriter writer;

  /** Source of time. */
  private final TimerService timer;

  /** Times that are kept. */
  private final CellTimings timings;

  /** Chunks that are still to be written. */
  private final ArrayDeque<CellRecord.SnapshotChunk> chunks = new ArrayDeque<>();

  /** Monotonic time of the newest snapshot in milliseconds. */
  private long takenAtMillis;

  /** Offset that the newest snapshot covers. */
  private long takenThrough;

  /** Offset that the newest written digest covers. */
  private long digestThrough = -1;

  /** Creates a writer. */
  public SnapshotWriter(
      CellStore store, StreamWriter writer, TimerService timer, CellTimings timings) {
    this.store = store;
    this.writer = writer;
    this.timer = timer;
    this.timings = timings;
    this.takenAtMillis = timer.monotonicMillis();
  }

  /** Writes what is due, at most one chunk and one digest. */
  public void tick(long epoch) {
    writeDigest(epoch);
    if (chunks.isEmpty()) {
      takeIfDue(epoch);
    }
    Optional.ofNullable(chunks.poll()).ifPresent(chunk -> writer.write(epoch, chunk));
  }

  /** Forgets a snapshot that was begun. */
  public void reset() {
    chunks.clear();
    takenAtMillis = timer.monotonicMillis();
  }

  private void takeIfDue(long epoch) {
    long next = store.read(state -> state.nextOffset());
    long records = next - takenThrough;
    boolean old =
        timer.monotonicMillis() - takenAtMillis >= timings.snapshot().toMillis()
            && records >= MIN_RECORDS;
    if (old || records >= MAX_RECORDS) {
      String id = writer.writerId() + "-" + epoch + "-" + next;
      chunks.addAll(SnapshotCodec.encode(id, store.snapshot()));
      takenAtMillis = timer.monotonicMillis();
      takenThrough = next;
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
