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

/** Follows the log, applies its records, and restores the state from a snapshot if necessary. */
public final class StreamReader {
  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Maximum number of records per read. */
  private static final int MAX_READ_RECORDS = 500;

  /** Length of a log that is applied from its start without searching for a snapshot. */
  private static final long MAX_RECORDS_WITHOUT_SNAPSHOT = 4_000;

  /** Log that holds the records of the cell. */
  private final PlatformLog log;

  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Clock and timers. */
  private final TimerService timer;

  /** Configured intervals and timeouts. */
  private final CellTimings timings;

  /** Records appended by this host and not yet applied, by offset. */
  private final TreeMap<Long, ByteString> ownRecords = new TreeMap<>();

  /** Compares digests in the stream with those of this host. */
  private final DigestComparator digestComparator;

  /** Receives digests with which this host objects to the leader's. */
  private volatile Consumer<CellRecord.StateDigest> objectionHandler = digest -> {};

  /** Executor that guards the reader's fields. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Timer of the periodic reads, empty before the start. */
  private Optional<TimerService.Subscription> subscription = Optional.empty();

  /** Whether a read is in progress. */
  private boolean reading;

  /** Whether another read was requested meanwhile. */
  private boolean readAgain;

  /** Whether the first batch was applied or a state was restored. */
  private boolean started;

  /** Whether the state has to be reloaded because its digest differs. */
  private boolean diverged;

  /** Start of the newest read that reached the end of the log, monotonic milliseconds. */
  private volatile long freshAsOfMillis = Long.MIN_VALUE / 2;

  /** Whether the newest read succeeded. */
  private volatile boolean logReachable;

  /** Creates a reader that does not read yet. */
  public StreamReader(
      String selfId, PlatformLog log, CellStore store, TimerService timer, CellTimings timings) {
    this.digestComparator = new DigestComparator(selfId, store);
    this.log = log;
    this.store = store;
    this.timer = timer;
    this.timings = timings;
  }

  /** Starts the periodic reads. */
  public void start() {
    subscription = Optional.of(timer.every(timings.logPoll(), this::readSoon));
    readSoon();
  }

  /** Sets the receiver of digests with which this host objects to the leader's. */
  public void onObjection(Consumer<CellRecord.StateDigest> handler) {
    objectionHandler = handler;
  }

  /** Stops the periodic reads and drops pending events. */
  public void close() {
    subscription.ifPresent(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Reads the end of the log now, or again after a read that is in progress. */
  public void readSoon() {
    shard.execute(this::read);
  }

  /** Applies records that this host appended, so that they need not be read back. */
  void appended(long firstOffset, List<ByteString> records) {
    shard.execute(
        () -> {
          long offset = firstOffset;
          for (ByteString record : records) {
            ownRecords.put(offset++, record);
          }
          applyOwnRecords();
          if (!ownRecords.isEmpty()) {
            read();
          }
        });
  }

  /**
   * Returns the monotonic time in milliseconds at which the newest read that reached the end of the
   * log began; all records appended before that time have been applied.
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
    long startedAtMillis = timer.monotonicMillis();
    long from = diverged ? 0 : store.read(CellState::nextOffset);
    long gap = diverged || ownRecords.isEmpty() ? MAX_READ_RECORDS : ownRecords.firstKey() - from;
    int limit = Math.clamp(gap, 1, MAX_READ_RECORDS);
    log.read(from, limit)
        .thenAccept(outcome -> shard.execute(() -> handle(outcome, startedAtMillis)));
  }

  private void handle(ReadOutcome outcome, long startedAtMillis) {
    reading = false;
    logReachable = !(outcome instanceof ReadOutcome.Unavailable);
    switch (outcome) {
      case ReadOutcome.Unavailable unavailable -> {}
      case ReadOutcome.Trimmed trimmed -> findEndAndRestore(trimmed.oldestOffset());
      case ReadOutcome.Batch batch -> handle(batch, startedAtMillis);
    }
    if (readAgain) {
      read();
    }
  }

  private void handle(ReadOutcome.Batch batch, long startedAtMillis) {
    boolean first = !started && batch.firstOffset() == 0;
    if (diverged || (first && batch.endOffset() > MAX_RECORDS_WITHOUT_SNAPSHOT)) {
      restore(0, batch.endOffset());
      return;
    }
    started = true;
    applyBatch(batch);
    applyOwnRecords();
    if (store.read(CellState::nextOffset) >= batch.endOffset()) {
      freshAsOfMillis = startedAtMillis;
    } else {
      readAgain = true;
    }
  }

  private void applyBatch(ReadOutcome.Batch batch) {
    long offset = batch.firstOffset();
    for (ByteString bytes : batch.records()) {
      if (offset >= store.read(CellState::nextOffset)) {
        applyRecord(offset, bytes);
      }
      offset++;
    }
  }

  /** Applies the records of this host that directly follow the cell state. */
  private void applyOwnRecords() {
    if (!started || diverged) {
      return;
    }
    long next = store.read(CellState::nextOffset);
    ownRecords.headMap(next).clear();
    while (!diverged && ownRecords.containsKey(next)) {
      applyRecord(next, ownRecords.remove(next));
      next++;
    }
  }

  private void applyRecord(long offset, ByteString bytes) {
    Optional<RecordEnvelope> envelope = RecordCodec.decode(bytes);
    if (envelope.isPresent()) {
      store.apply(offset, envelope.get());
      compareDigest(envelope.get());
    } else {
      LOGGER.atWarning().log("stream: record %d cannot be decoded and is skipped.", offset);
      store.skip(offset);
    }
  }

  private void compareDigest(RecordEnvelope envelope) {
    if (!(envelope.record() instanceof CellRecord.StateDigest digest)) {
      return;
    }
    long through = digest.throughOffset();
    switch (digestComparator.evaluate(envelope.author(), digest)) {
      case RELOAD -> {
        LOGGER.atSevere().log(
            "stream: state at offset %d differs from that of %s, reloading it.",
            through, envelope.author());
        diverged = true;
        readAgain = true;
      }
      case OBJECT -> {
        LOGGER.atSevere().log(
            "stream: state at offset %d still differs from that of %s after a reload.",
            through, envelope.author());
        objectionHandler.accept(
            new CellRecord.StateDigest(through, store.digestAt(through).orElseThrow()));
      }
      default -> {}
    }
  }

  private void findEndAndRestore(long oldestOffset) {
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
        .thenAccept(snapshot -> shard.execute(() -> handleSnapshot(oldestOffset, snapshot)));
  }

  private void handleSnapshot(long oldestOffset, Optional<CellSnapshot> snapshot) {
    reading = false;
    if (snapshot.isPresent()) {
      store.reload(CellState.restore(snapshot.get()));
    } else if (oldestOffset == 0) {
      store.reload(new CellState());
    } else {
      LOGGER.atSevere().log(
          "stream: no complete snapshot found from offset %d on, retrying.", oldestOffset);
      return;
    }
    started = true;
    diverged = false;
    read();
  }
}
