package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vanillacove.coordination.work.api.JobStore;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Writes records in groups: one append is under way at a time, and what comes meanwhile goes into
 * the next. An append of unknown fate is repeated with the same sequence number until its fate is
 * known, so that no later record overtakes it.
 */
final class JobRecorder {
  /** Log of the store. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Most entries of one append; keeps a call far below the store's largest request. */
  private static final int MOST_ENTRIES = 300;

  /** Pause before an append is repeated; a few answers of a healthy store. */
  private static final Duration REPEAT_PAUSE = Duration.ofMillis(120);

  /** Age of an append at which the store counts as away, and acceptances are answered. */
  private static final long AWAY_MILLIS = 700;

  /** The store. */
  private final JobStore store;

  /** Source of time. */
  private final TimerService timer;

  /** Called when a newer leader is found to write. */
  private final Runnable fenced;

  /** Entries for the next append. */
  private List<Entry> pending = new ArrayList<>();

  /** Entries of the append under way; empty if there is none. */
  private List<Entry> current = List.of();

  /** Records of the append under way. */
  private List<KeyedRecord> currentRecords = List.of();

  /** Sequence number of the append under way or the next one. */
  private int sequence;

  /** Monotonic time at which the append under way was first sent, in milliseconds. */
  private long sentMillis;

  /** Whether an earlier try of the append under way may have taken effect, or may yet. */
  private boolean uncertain;

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
    if (pending.isEmpty() && current.isEmpty()) {
      action.run();
      return;
    }
    Entry entry =
        new Entry(Optional.empty(), () -> ByteString.EMPTY, f -> runIfStored(f, action), false);
    if (pending.isEmpty()) {
      current.add(entry);
    } else {
      pending.add(entry);
    }
  }

  /** Returns whether the store answers, as far as is known. */
  boolean isStoreAway() {
    return !current.isEmpty() && timer.monotonicMillis() - sentMillis > AWAY_MILLIS;
  }

  /** Writes nothing more; callbacks that wait are dropped. */
  void close() {
    closed = true;
  }

  private static void runIfStored(Fate fate, Runnable action) {
    if (fate == Fate.STORED) {
      action.run();
    }
  }

  private void add(Entry entry) {
    if (closed) {
      return;
    }
    pending.add(entry);
    if (current.isEmpty()) {
      timer.after(Duration.ZERO, this::flush);
    }
  }

  private void flush() {
    if (closed || !current.isEmpty() || pending.isEmpty()) {
      return;
    }
    int count = Math.min(MOST_ENTRIES, pending.size());
    current = new ArrayList<>(pending.subList(0, count));
    pending = new ArrayList<>(pending.subList(count, pending.size()));
    sentMillis = timer.monotonicMillis();
    send();
  }

  private void send() {
    Map<String, Supplier<ByteString>> newest = new LinkedHashMap<>();
    for (Entry entry : current) {
      entry.key.ifPresent(key -> newest.put(key, entry.value));
    }
    currentRecords =
        newest.entrySet().stream()
            .map(record -> new KeyedRecord(record.getKey(), record.getValue().get()))
            .toList();
    if (currentRecords.isEmpty()) {
      finish();
    } else {
      store.append(sequence, currentRecords, this::answered);
    }
  }

  private void answered(JobStore.Outcome outcome) {
    if (closed) {
      return;
    }
    switch (outcome) {
      case STORED -> {
        sequence++;
        finish();
      }
      case FENCED -> {
        LOG.atInfo().log("store: append sequence=%d outcome=fenced", sequence);
        closed = true;
        failAll();
        fenced.run();
      }
      case NOT_STORED -> {
        LOG.atInfo().log("store: append sequence=%d outcome=not-stored", sequence);
        if (uncertain) {
          timer.after(REPEAT_PAUSE, this::repeat);
        } else {
          dropOptional();
          timer.after(REPEAT_PAUSE, this::sendAgain);
        }
      }
      default -> {
        // Unknown: it may have taken effect, or may yet.
        LOG.atInfo().log("store: append sequence=%d outcome=unknown", sequence);
        uncertain = true;
        reportUnknown();
        timer.after(REPEAT_PAUSE, this::repeat);
      }
    }
  }

  private void sendAgain() {
    if (!closed) {
      send();
    }
  }

  private void repeat() {
    if (!closed) {
      store.append(sequence, currentRecords, this::answered);
    }
  }

  private void finish() {
    List<Entry> finished = current;
    current = List.of();
    uncertain = false;
    finished.forEach(entry -> entry.done.accept(Fate.STORED));
    flush();
  }

  private void dropOptional() {
    if (timer.monotonicMillis() - sentMillis < AWAY_MILLIS) {
      return;
    }
    List<Entry> dropped = current.stream().filter(entry -> entry.optional).toList();
    current.removeAll(dropped);
    List<Entry> waiting = pending.stream().filter(entry -> entry.optional).toList();
    pending.removeAll(waiting);
    dropped.forEach(entry -> entry.done.accept(Fate.NOT_STORED));
    waiting.forEach(entry -> entry.done.accept(Fate.NOT_STORED));
  }

  private void reportUnknown() {
    if (timer.monotonicMillis() - sentMillis < AWAY_MILLIS) {
      return;
    }
    for (Entry entry : current) {
      if (entry.optional && !entry.reported) {
        entry.reported = true;
        entry.done.accept(Fate.UNKNOWN);
      }
    }
    List<Entry> waiting = pending.stream().filter(entry -> entry.optional).toList();
    pending.removeAll(waiting);
    waiting.forEach(entry -> entry.done.accept(Fate.NOT_STORED));
  }

  private void failAll() {
    for (Entry entry : current) {
      entry.done.accept(uncertain ? Fate.UNKNOWN : Fate.NOT_STORED);
    }
    for (Entry entry : pending) {
      entry.done.accept(Fate.NOT_STORED);
    }
  }
}
