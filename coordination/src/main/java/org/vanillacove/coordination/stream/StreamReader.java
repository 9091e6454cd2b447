package org.vanillacove.coordination.stream;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.CellSnapshot;
import org.vanillacove.state.cell.CellState;

/** Follows the tail of the log, folds it, and restores the state from a snapshot if need be. */
public final class StreamReader {
  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Records asked for at once. */
  private static final int MAX_RECORDS = 500;

  /** Records that a host folds from the start rather than look for a snapshot. */
  private static final long SHORT_LOG = 4_000;

  /** The log. */
  private final PlatformLog log;

  /** The folded state. */
  private final CellStore store;

  /** Source of time. */
  private final TimerService timer;

  /** Times that are kept. */
  private final CellTimings timings;

  /** Records that this host appended beyond the folded state, by offset. */
  private final TreeMap<Long, ByteString> own = new TreeMap<>();

  /** Judges digests. */
  private final DigestAgreement agreement;

  /** Takes digests that this host puts against the leader's. */
  private volatile Consumer<CellRecord.StateDigest> objections = digest -> {};

  /** Serialises reads. */
  private final EventShard shard = new EventShard();

  /** The timer of the tail. */
  private Optional<TimerService.Subscription> subscription = Optional.empty();

  /** Whether a read is under way. */
  private boolean reading;

  /** Whether another read was asked for meanwhile. */
  private boolean readAgain;

  /** Whether the start of the log was looked at. */
  private boolean started;

  /** Whether the state has to be loaded anew. */
  private boolean diverged;

  /** Monotonic time at which the newest read that saw the end of the log began, in milliseconds. */
  private volatile long freshAsOfMillis = Long.MIN_VALUE / 2;

  /** Whether the newest read succeeded. */
  private volatile boolean logReachable;

  /** Creates a reader that does not read yet. */
  public StreamReader(
      String selfId, PlatformLog log, CellStore store, TimerService timer, CellTimings timings) {
    this.agreement = new DigestAgreement(selfId, store);
    this.log = log;
    this.store = store;
    this.timer = timer;
    this.timings = timings;
  }

  /** Starts to follow the tail. */
  public void start() {
    subscription = Optional.of(timer.every(timings.tail(), this::readSoon));
    readSoon();
  }

  /** Sets who takes digests that this host puts against the leader's. */
  public void onObjection(Consumer<CellRecord.StateDigest> taker) {
    objections = taker;
  }

  /** Stops to follow the tail. */
  public void close() {
    subscription.ifPresent(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Reads the tail now, or once more if a read is under way. */
  public void readSoon() {
    shard.execute(this::read);
  }

  /** Takes records that this host appended, so that they need not be read back. */
  void appended(long firstOffset, List<ByteString> records) {
    shard.execute(
        () -> {
          long offset = firstOffset;
          for (ByteString record : records) {
            own.put(offset++, record);
          }
          foldOwn();
          if (!own.isEmpty()) {
            read();
          }
        });
  }

  /**
   * Returns the monotonic time in milliseconds at which the newest read that saw the end of the log
   * began; all records before that time have been folded.
   */
  public long freshAsOfMillis() {
    return freshAsOfMillis;
  }

  /** Returns whether the newest read succeeded. */
  public boolean isLogReachable() {
    return logReachable;
  }

  private void read() {
    if (reading) {
      readAgain = true;
      return;
    }
    reading = true;
    readAgain = false;
    long begun = timer.monotonicMillis();
    long from = diverged ? 0 : store.read(CellState::nextOffset);
    long gap = diverged || own.isEmpty() ? MAX_RECORDS : own.firstKey() - from;
    int limit = Math.clamp(gap, 1, MAX_RECORDS);
    log.read(from, limit).thenAccept(outcome -> shard.execute(() -> handle(outcome, begun)));
  }

  private void handle(ReadOutcome outcome, long begun) {
    reading = false;
    logReachable = !(outcome instanceof ReadOutcome.Unavailable);
    switch (outcome) {
      case ReadOutcome.Unavailable unavailable -> {}
      case ReadOutcome.Trimmed trimmed -> findEnd(trimmed.oldestOffset());
      case ReadOutcome.Batch batch -> handle(batch, begun);
    }
    if (readAgain) {
      read();
    }
  }

  private void handle(ReadOutcome.Batch batch, long begun) {
    boolean first = !started && batch.firstOffset() == 0;
    if (diverged || (first && batch.endOffset() > SHORT_LOG)) {
      restore(0, batch.endOffset());
      return;
    }
    started = true;
    foldBatch(batch);
    foldOwn();
    if (store.read(CellState::nextOffset) >= batch.endOffset()) {
      freshAsOfMillis = begun;
    } else {
      readAgain = true;
    }
  }

  private void foldBatch(ReadOutcome.Batch batch) {
    long offset = batch.firstOffset();
    for (ByteString bytes : batch.records()) {
      if (offset >= store.read(CellState::nextOffset)) {
        fold(offset, bytes);
      }
      offset++;
    }
  }

  /** Folds the records of this host that follow the folded state. */
  private void foldOwn() {
    if (!started || diverged) {
      return;
    }
    long next = store.read(CellState::nextOffset);
    own.headMap(next).clear();
    while (!diverged && own.containsKey(next)) {
      fold(next, own.remove(next));
      next++;
    }
  }

  private void fold(long offset, ByteString bytes) {
    Optional<RecordEnvelope> envelope = RecordCodec.decode(bytes);
    if (envelope.isPresent()) {
      store.apply(offset, envelope.get());
      compare(envelope.get());
    } else {
      LOGGER.atWarning().log("stream: record %d cannot be read and is passed over.", offset);
      store.skip(offset);
    }
  }

  private void compare(RecordEnvelope envelope) {
    if (!(envelope.record() instanceof CellRecord.StateDigest digest)) {
      return;
    }
    long through = digest.throughOffset();
    switch (agreement.judge(envelope.author(), digest)) {
      case RELOAD -> {
        LOGGER.atSevere().log(
            "stream: state at %d differs from that of %s, loading it anew.",
            through, envelope.author());
        diverged = true;
        readAgain = true;
      }
      case OBJECT -> {
        LOGGER.atSevere().log(
            "stream: state at %d differs from that of %s after it was loaded anew.",
            through, envelope.author());
        objections.accept(
            new CellRecord.StateDigest(through, store.digestAt(through).orElseThrow()));
      }
      default -> {}
    }
  }

  private void findEnd(long oldestOffset) {
    reading = true;
    log.read(oldestOffset, 1)
        .thenAccept(
            outcome ->
                shard.execute(
                    () -> {
                      reading = false;
                      if (outcome instanceof ReadOutcome.Batch batch) {
                        restore(oldestOffset, batch.endOffset());
                      }
                    }));
  }

  private void restore(long oldestOffset, long endOffset) {
    reading = true;
    new SnapshotFinder(log, oldestOffset)
        .findBefore(endOffset)
        .thenAccept(snapshot -> shard.execute(() -> restored(oldestOffset, snapshot)));
  }

  private void restored(long oldestOffset, Optional<CellSnapshot> snapshot) {
    reading = false;
    if (snapshot.isPresent()) {
      store.reload(CellState.restore(snapshot.get()));
    } else if (oldestOffset == 0) {
      store.reload(new CellState());
    } else {
      LOGGER.atSevere().log("stream: no complete snapshot after %d, waiting.", oldestOffset);
      return;
    }
    started = true;
    diverged = false;
    read();
  }
}
