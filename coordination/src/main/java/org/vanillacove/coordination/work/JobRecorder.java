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
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vanillacove.coordination.work.api.JobStore;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Writes records in groups. While the store is slow, a few appends are under way at once, each with
 * the next sequence number, so that the store keeps their order. An append of unknown fate is
 * repeated with the same sequence number until its fate is known, so that no later record overtakes
 * it.
 */
final class JobRecorder {
  /** Log of the store. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Most entries of one append; keeps a call far below the store's largest request. */
  private static final int MOST_ENTRIES = 300;

  /** Most appends under way; the store recognises repeats of the last five. */
  private static final int MOST_APPENDS = 4;

  /** Time between appends under way: several answers of a healthy store, which so has one. */
  private static final long APPEND_GAP_MILLIS = 25;

  /** Pause before an append is repeated; a few answers of a healthy store. */
  private static final Duration REPEAT_PAUSE = Duration.ofMillis(120);

  /** Pause before an append that came before its predecessor is repeated. */
  private static final Duration ORDER_PAUSE = Duration.ofMillis(20);

  /** Age of an append at which the store counts as away, and acceptances are answered. */
  private static final long AWAY_MILLIS = 700;

  /** What is written in place of records that were given up; it keeps the sequence unbroken. */
  private static final KeyedRecord NOTHING = new KeyedRecord("none", ByteString.EMPTY);

  /** The store. */
  private final JobStore store;

  /** Source of time. */
  private final TimerService timer;

  /** Called when a newer leader is found to write. */
  private final Runnable fenced;

  /** Entries for the next append. */
  private final Deque<Entry> pending = new ArrayDeque<>();

  /** Appends under way, in the order of their sequence numbers. */
  private final Deque<Batch> batches = new ArrayDeque<>();

  /** Sequence number of the next append. */
  private int nextSequence;

  /** Sequence number up to which appends must be durable before new ones are sent. */
  private int drainThrough = -1;

  /** Whether a look at the pending entries is due. */
  private boolean flushDue;

  /** Whether nothing more is written. */
  private boolean closed;

  /** Creates a recorder whose term begins with sequence number 0. */
  JobRecorder(JobStore store, TimerService timer, Runnable fenced) {
    this.store = store;
    this.timer = timer;
    this.fenced = fenced;
  }

  /** What became of an acceptance. */
  enum Fate {
    /** It is durable. */
    STORED,
    /** It is not stored and will not be. */
    NOT_STORED,
    /** It may be stored, now or later. */
    UNKNOWN
  }

  /** A record to write, or only a callback. */
  private static final class Entry {
    /** The key; empty for a callback. */
    private final Optional<String> key;

    /** The value at the time of writing. */
    private final Supplier<ByteString> value;

    /** Called with the fate; once, but for UNKNOWN, which another fate may follow. */
    private final Consumer<Fate> done;

    /** Whether the record may be left out if the store refuses it. */
    private final boolean optional;

    /** Whether an unknown fate was reported. */
    private boolean reported;

    Entry(Optional<String> key, Supplier<ByteString> value, Consumer<Fate> done, boolean optional) {
      this.key = key;
      this.value = value;
      this.done = done;
      this.optional = optional;
    }
  }

  /** One append under way. */
  private static final class Batch {
    /** Its sequence number. */
    private final int sequence;

    /** Its entries. */
    private final List<Entry> entries;

    /** Its records; values are taken once, since a later append may hold newer ones. */
    private List<KeyedRecord> records;

    /** Monotonic time at which it was first sent, in milliseconds. */
    private final long sentMillis;

    /** Whether an earlier try may have taken effect, or may yet. */
    private boolean uncertain;

    /** Whether it came before its predecessor and waits for that one to be durable. */
    private boolean early;

    /** Whether it is durable. */
    private boolean stored;

    Batch(int sequence, List<Entry> entries, long sentMillis) {
      this.sequence = sequence;
      this.entries = entries;
      this.sentMillis = sentMillis;
      Map<String, KeyedRecord> newest = new LinkedHashMap<>();
      for (Entry entry : entries) {
        entry.key.ifPresent(key -> newest.put(key, new KeyedRecord(key, entry.value.get())));
      }
      records = newest.isEmpty() ? List.of(NOTHING) : List.copyOf(newest.values());
    }

    /** Leaves out entries that nobody must keep, and returns them. */
    List<Entry> giveUpOptional() {
      List<Entry> dropped = entries.stream().filter(entry -> entry.optional).toList();
      Set<String> keys = new HashSet<>();
      dropped.forEach(entry -> entry.key.ifPresent(keys::add));
      entries.removeAll(dropped);
      List<KeyedRecord> left = records.stream().filter(each -> !keys.contains(each.key())).toList();
      records = left.isEmpty() ? List.of(NOTHING) : left;
      return dropped;
    }
  }

  /** Writes a record; it is repeated until it is durable. */
  void write(String key, Supplier<ByteString> value, Runnable stored) {
    add(new Entry(Optional.of(key), value, fate -> runIfStored(fate, stored), false));
  }

  /** Writes the record of an acceptance, which is given up if the store is away. */
  void accept(String key, ByteString value, Consumer<Fate> done) {
    add(new Entry(Optional.of(key), () -> value, done, true));
  }

  /** Runs {@code action} once all that was written before is durable. */
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

  /** Returns whether the store answers, as far as is known. */
  boolean isStoreAway() {
    return !batches.isEmpty() && isOverdue(batches.getFirst());
  }

  /** Returns whether nothing more is written. */
  boolean isClosed() {
    return closed;
  }

  /** Writes nothing more; callbacks that wait are dropped. */
  void close() {
    closed = true;
  }

  private boolean isOverdue(Batch batch) {
    return timer.monotonicMillis() - batch.sentMillis > AWAY_MILLIS;
  }

  private static void runIfStored(Fate fate, Runnable action) {
    if (fate == Fate.STORED) {
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
    // An append sent while another one comes too early would come too early as well, and so on.
    boolean draining = !batches.isEmpty() && batches.getFirst().sequence <= drainThrough;
    if (closed || pending.isEmpty() || draining || batches.size() >= mostAppends()) {
      return;
    }
    long now = timer.monotonicMillis();
    long wait = batches.isEmpty() ? 0 : batches.getLast().sentMillis + APPEND_GAP_MILLIS - now;
    if (wait > 0) {
      flushAfter(wait);
      return;
    }
    List<Entry> entries = new ArrayList<>();
    while (!pending.isEmpty() && entries.size() < MOST_ENTRIES) {
      entries.add(pending.removeFirst());
    }
    Batch batch = new Batch(nextSequence, entries, now);
    nextSequence++;
    batches.add(batch);
    send(batch);
    if (!pending.isEmpty()) {
      flushAfter(APPEND_GAP_MILLIS);
    }
  }

  /** Returns how many appends may be under way. */
  private int mostAppends() {
    // A term may begin with any number, so an append that overtook the first one would shut it out.
    boolean begun = nextSequence > 0 && (batches.isEmpty() || batches.getFirst().sequence > 0);
    return begun ? MOST_APPENDS : 1;
  }

  private void send(Batch batch) {
    if (!closed) {
      store.append(batch.sequence, batch.records, outcome -> answered(batch, outcome));
    }
  }

  private void sendEarly(Batch batch) {
    batch.early = false;
    send(batch);
  }

  private void answered(Batch batch, JobStore.Outcome outcome) {
    if (closed || batch.stored) {
      return;
    }
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
        batch.early = true;
        drainThrough = nextSequence - 1;
        if (batch == batches.getFirst()) {
          timer.after(ORDER_PAUSE, () -> sendEarly(batch));
        }
      }
      case NOT_STORED -> {
        LOG.atInfo().log("store: append sequence=%d outcome=not-stored", batch.sequence);
        if (!batch.uncertain && isOverdue(batch)) {
          batch.giveUpOptional().forEach(entry -> entry.done.accept(Fate.NOT_STORED));
          refusePending();
        }
        timer.after(REPEAT_PAUSE, () -> send(batch));
      }
      default -> {
        // Unknown: it may have taken effect, or may yet.
        LOG.atInfo().log("store: append sequence=%d outcome=unknown", batch.sequence);
        batch.uncertain = true;
        if (isOverdue(batch)) {
          reportUnknown(batch);
          refusePending();
        }
        timer.after(REPEAT_PAUSE, () -> send(batch));
      }
    }
  }

  /** Ends the appends that are durable, in their order. */
  private void finishStored() {
    while (!batches.isEmpty() && batches.getFirst().stored) {
      List<Entry> finished = batches.removeFirst().entries;
      finished.forEach(entry -> entry.done.accept(Fate.STORED));
    }
    if (!batches.isEmpty() && batches.getFirst().early) {
      sendEarly(batches.getFirst());
    }
    flush();
  }

  private static void reportUnknown(Batch batch) {
    for (Entry entry : batch.entries) {
      if (entry.optional && !entry.reported) {
        entry.reported = true;
        entry.done.accept(Fate.UNKNOWN);
      }
    }
  }

  private void refusePending() {
    List<Entry> waiting = pending.stream().filter(entry -> entry.optional).toList();
    pending.removeAll(waiting);
    waiting.forEach(entry -> entry.done.accept(Fate.NOT_STORED));
  }

  private void failAll(Batch refused) {
    for (Batch batch : batches) {
      // The others were not answered and may have been stored before the newer leader came.
      Fate fate = batch == refused && !batch.uncertain ? Fate.NOT_STORED : Fate.UNKNOWN;
      batch.entries.forEach(entry -> entry.done.accept(fate));
    }
    pending.forEach(entry -> entry.done.accept(Fate.NOT_STORED));
  }
}
