package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vanillacove.coordination.work.api.JobStore;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Writes records to the store in batches. While the store is slow, a few appends are in flight at
 * once, each with the next sequence number, so that the store keeps their order. An append with an
 * unknown outcome is retried with the same sequence number until its outcome is known, so that no
 * later record overtakes it.
 */
final class JobRecorder {
  /** Logs appends that failed (prefix {@code store:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Maximum entries of one append; keeps a call far below the store's maximum request size. */
  private static final int MAX_ENTRIES_PER_APPEND = 300;

  /** Maximum appends in flight; the store recognises repeats of only the last five. */
  private static final int MAX_APPENDS_IN_FLIGHT = 4;

  /**
   * Minimum interval between appends; several response times of a healthy store, which therefore
   * has only one append in flight.
   */
  private static final long MIN_APPEND_INTERVAL_MILLIS = 25;

  /** Delay before an append is retried; a few response times of a healthy store. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(120);

  /** Delay before an append that overtook its predecessor is sent again. */
  private static final Duration OUT_OF_ORDER_RETRY_DELAY = Duration.ofMillis(20);

  /** Age of an append at which the store counts as unavailable and acceptances are answered. */
  private static final long UNAVAILABLE_AFTER_MILLIS = 700;

  /** Maximum time to the loss of a call that counts as refused: a reset, not a timeout. */
  private static final long MAX_RESET_MILLIS = 300;

  /** Written in place of dropped records, so that the sequence has no gap. */
  private static final KeyedRecord PLACEHOLDER = new KeyedRecord("none", ByteString.EMPTY);

  /** Durable store of the records. */
  private final JobStore store;

  /** Clock and timers; callbacks run on the scheduling thread. */
  private final TimerService timer;

  /** Called when the store rejects an append because a newer leader writes. */
  private final Runnable fenced;

  /** Entries that aren't part of an append yet. */
  private final Deque<Entry> pending = new ArrayDeque<>();

  /** Appends in flight, in the order of their sequence numbers. */
  private final Deque<Batch> batches = new ArrayDeque<>();

  /** Sequence number of the next append. */
  private int nextSequence;

  /** Sequence number through which appends must be durable before new ones are sent. */
  private int drainThrough = -1;

  /** Monotonic time since which the store has refused every append, in milliseconds. */
  private OptionalLong refusedSinceMillis = OptionalLong.empty();

  /** Monotonic time at which an append was last stored, in milliseconds. */
  private long storedMillis;

  /** Whether a flush of the pending entries is already scheduled. */
  private boolean flushDue;

  /** Whether the recorder is closed; nothing is written after that. */
  private boolean closed;

  /** Creates a recorder whose term begins with sequence number 0. */
  JobRecorder(JobStore store, TimerService timer, Runnable fenced) {
    this.store = store;
    this.timer = timer;
    this.fenced = fenced;
  }

  /** Outcome of a write. */
  enum WriteOutcome {
    /** The record is durable. */
    STORED,
    /** The record isn't stored and won't be. */
    NOT_STORED,
    /** The record may be stored now or become so later. */
    UNKNOWN
  }

  /** A record to write, or only a callback that waits for earlier records. */
  private static final class Entry {
    /** Key of the record; empty for a mere callback. */
    private final Optional<String> key;

    /** Supplies the value when the append is built. */
    private final Supplier<ByteString> value;

    /** Called once with the outcome; after UNKNOWN it may be called a second time. */
    private final Consumer<WriteOutcome> done;

    /** Whether the record may be dropped if the store rejects it. */
    private final boolean optional;

    /** Whether UNKNOWN has already been reported. */
    private boolean unknownReported;

    Entry(
        Optional<String> key,
        Supplier<ByteString> value,
        Consumer<WriteOutcome> done,
        boolean optional) {
      this.key = key;
      this.value = value;
      this.done = done;
      this.optional = optional;
    }
  }

  /** An append in flight. */
  private static final class Batch {
    /** Sequence number of the append in this term. */
    private final int sequence;

    /** Entries whose callbacks are called when the append completes. */
    private final List<Entry> entries;

    /** Records to append; read once, since a later append may contain newer values. */
    private List<KeyedRecord> records;

    /** Monotonic time at which it was first sent, in milliseconds. */
    private final long sentMillis;

    /** Monotonic time at which the latest attempt was sent, in milliseconds. */
    private long attemptMillis;

    /** Whether an earlier attempt may have taken effect or still may. */
    private boolean uncertain;

    /** Whether it overtook its predecessor and waits until that one is durable. */
    private boolean outOfOrder;

    /** Whether the append is durable. */
    private boolean stored;

    Batch(int sequence, List<Entry> entries, long sentMillis) {
      this.sequence = sequence;
      this.entries = entries;
      this.sentMillis = sentMillis;
      Map<String, KeyedRecord> newest = new LinkedHashMap<>();
      for (Entry entry : entries) {
        entry.key.ifPresent(key -> newest.put(key, new KeyedRecord(key, entry.value.get())));
      }
      records = newest.isEmpty() ? List.of(PLACEHOLDER) : List.copyOf(newest.values());
    }

    /** Removes the optional entries and their records; returns the removed entries. */
    List<Entry> dropOptional() {
      List<Entry> dropped = entries.stream().filter(entry -> entry.optional).toList();
      Set<String> keys = new HashSet<>();
      dropped.forEach(entry -> entry.key.ifPresent(keys::add));
      entries.removeAll(dropped);
      List<KeyedRecord> left = records.stream().filter(each -> !keys.contains(each.key())).toList();
      records = left.isEmpty() ? List.of(PLACEHOLDER) : left;
      return dropped;
    }
  }

  /** Writes a record and retries it until it is durable; then {@code stored} is called. */
  void write(String key, Supplier<ByteString> value, Runnable stored) {
    add(new Entry(Optional.of(key), value, result -> runIfStored(result, stored), false));
  }

  /** Writes the record of an acceptance; it is dropped if the store is unavailable. */
  void accept(String key, ByteString value, Consumer<WriteOutcome> done) {
    add(new Entry(Optional.of(key), () -> value, done, true));
  }

  /** Runs {@code action} once all records written before this call are durable. */
  void afterAll(Runnable action) {
    if (pending.isEmpty() && batches.isEmpty()) {
      action.run();
      return;
    }
    Entry entry =
        new Entry(Optional.empty(), () -> ByteString.EMPTY, f -> runIfStored(f, action), false);
    if (pending.isEmpty()) {
      batches.getLast().entries.add(entry);
    } else {
      pending.add(entry);
    }
  }

  /**
   * Returns whether the oldest append in flight is overdue, so that the store seems unavailable.
   */
  boolean isStoreUnavailable() {
    return !batches.isEmpty() && isOverdue(batches.getFirst());
  }

  /**
   * Returns the monotonic time in milliseconds since which the store has refused every append, by
   * an answer or by a reset; empty while it stores them or does not respond.
   */
  OptionalLong refusedSinceMillis() {
    return refusedSinceMillis;
  }

  /**
   * Returns the monotonic time in milliseconds since which an append has been in flight and none
   * has been stored; empty if nothing is in flight.
   */
  OptionalLong waitingSinceMillis() {
    return batches.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(batches.getFirst().sentMillis, storedMillis));
  }

  /** Returns whether the recorder is closed or fenced. */
  boolean isClosed() {
    return closed;
  }

  /** Stops writing; pending callbacks are never called. */
  void close() {
    closed = true;
  }

  private boolean isOverdue(Batch batch) {
    return timer.monotonicMillis() - batch.sentMillis > UNAVAILABLE_AFTER_MILLIS;
  }

  private static void runIfStored(WriteOutcome result, Runnable action) {
    if (result == WriteOutcome.STORED) {
      action.run();
    }
  }

  private void add(Entry entry) {
    if (!closed) {
      pending.add(entry);
      flushAfter(0);
    }
  }

  private void flushAfter(long millis) {
    if (!flushDue && !closed) {
      flushDue = true;
      timer.after(Duration.ofMillis(millis), this::flush);
    }
  }

  private void flush() {
    flushDue = false;
    // An append sent after an out-of-order one would be out of order as well, and so on.
    boolean draining = !batches.isEmpty() && batches.getFirst().sequence <= drainThrough;
    if (closed || pending.isEmpty() || draining || batches.size() >= maxAppendsInFlight()) {
      return;
    }
    long now = timer.monotonicMillis();
    long wait =
        batches.isEmpty() ? 0 : batches.getLast().sentMillis + MIN_APPEND_INTERVAL_MILLIS - now;
    if (wait > 0) {
      flushAfter(wait);
      return;
    }
    List<Entry> entries = new ArrayList<>();
    while (!pending.isEmpty() && entries.size() < MAX_ENTRIES_PER_APPEND) {
      entries.add(pending.removeFirst());
    }
    Batch batch = new Batch(nextSequence, entries, now);
    nextSequence++;
    batches.add(batch);
    send(batch);
    if (!pending.isEmpty()) {
      flushAfter(MIN_APPEND_INTERVAL_MILLIS);
    }
  }

  /** Returns how many appends may be in flight now. */
  private int maxAppendsInFlight() {
    // The store accepts any first number of a term, so number 0 is shut out if it is overtaken.
    boolean begun = nextSequence > 0 && (batches.isEmpty() || batches.getFirst().sequence > 0);
    return begun ? MAX_APPENDS_IN_FLIGHT : 1;
  }

  private void send(Batch batch) {
    if (!closed) {
      batch.attemptMillis = timer.monotonicMillis();
      store.append(batch.sequence, batch.records, outcome -> answered(batch, outcome));
    }
  }

  private void resendOutOfOrder(Batch batch) {
    batch.outOfOrder = false;
    send(batch);
  }

  private void answered(Batch batch, JobStore.Outcome outcome) {
    if (closed || batch.stored) {
      return;
    }
    observeRefusal(batch, outcome);
    switch (outcome) {
      case STORED -> {
        batch.stored = true;
        finishStored();
      }
      case FENCED -> {
        LOG.atInfo().log("store: append sequence=%d outcome=fenced", batch.sequence);
        closed = true;
        failAll(batch);
        fenced.run();
      }
      case OUT_OF_ORDER -> {
        LOG.atInfo().log("store: append sequence=%d outcome=out-of-order", batch.sequence);
        batch.outOfOrder = true;
        drainThrough = nextSequence - 1;
        if (batch == batches.getFirst()) {
          timer.after(OUT_OF_ORDER_RETRY_DELAY, () -> resendOutOfOrder(batch));
        }
      }
      case NOT_STORED -> {
        LOG.atInfo().log("store: append sequence=%d outcome=not-stored", batch.sequence);
        if (!batch.uncertain && isOverdue(batch)) {
          batch.dropOptional().forEach(entry -> entry.done.accept(WriteOutcome.NOT_STORED));
          rejectPending();
        }
        timer.after(RETRY_DELAY, () -> send(batch));
      }
      default -> {
        // UNKNOWN: the append may have taken effect or still may.
        LOG.atInfo().log("store: append sequence=%d outcome=unknown", batch.sequence);
        batch.uncertain = true;
        if (isOverdue(batch)) {
          reportUnknown(batch);
          rejectPending();
        }
        timer.after(RETRY_DELAY, () -> send(batch));
      }
    }
  }

  private void observeRefusal(Batch batch, JobStore.Outcome outcome) {
    boolean reset =
        outcome == JobStore.Outcome.UNKNOWN
            && timer.monotonicMillis() - batch.attemptMillis < MAX_RESET_MILLIS;
    if (outcome == JobStore.Outcome.STORED) {
      storedMillis = timer.monotonicMillis();
      refusedSinceMillis = OptionalLong.empty();
    } else if (refusedSinceMillis.isEmpty() && (reset || outcome == JobStore.Outcome.NOT_STORED)) {
      refusedSinceMillis = OptionalLong.of(batch.attemptMillis);
    }
  }

  /** Completes durable appends in the order of their sequence numbers. */
  private void finishStored() {
    while (!batches.isEmpty() && batches.getFirst().stored) {
      List<Entry> finished = batches.removeFirst().entries;
      finished.forEach(entry -> entry.done.accept(WriteOutcome.STORED));
    }
    if (!batches.isEmpty() && batches.getFirst().outOfOrder) {
      resendOutOfOrder(batches.getFirst());
    }
    flush();
  }

  private static void reportUnknown(Batch batch) {
    for (Entry entry : batch.entries) {
      if (entry.optional && !entry.unknownReported) {
        entry.unknownReported = true;
        entry.done.accept(WriteOutcome.UNKNOWN);
      }
    }
  }

  private void rejectPending() {
    List<Entry> waiting = pending.stream().filter(entry -> entry.optional).toList();
    pending.removeAll(waiting);
    waiting.forEach(entry -> entry.done.accept(WriteOutcome.NOT_STORED));
  }

  private void failAll(Batch rejected) {
    for (Batch batch : batches) {
      // The other appends may have been stored before the newer leader's first one.
      WriteOutcome result =
          batch == rejected && !batch.uncertain ? WriteOutcome.NOT_STORED : WriteOutcome.UNKNOWN;
      batch.entries.forEach(entry -> entry.done.accept(result));
    }
    pending.forEach(entry -> entry.done.accept(WriteOutcome.NOT_STORED));
  }
}
