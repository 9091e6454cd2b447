package org.vanillacove.coordination.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.JobStore;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.protocol.timer.TimerService;

/** Keeps the latest record of each key, rejects former leaders and injects faults on demand. */
final class FakeStore {
  /** Time until the caller receives a response. */
  private static final Duration RESPONSE_TIME = Duration.ofMillis(6);

  /** Time after which the caller's outcome is unknown. */
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  /** Marks a new term, whose first append may have any number. */
  private static final int ANY_SEQUENCE = -1;

  private final TimerService timer;
  private final Map<String, KeyedRecord> newest = new LinkedHashMap<>();
  private final List<String> writtenKeys = new ArrayList<>();
  private long epoch;
  private int nextSequence;
  private int appends;
  private Fault fault = Fault.NONE;

  FakeStore(TimerService timer) {
    this.timer = timer;
  }

  /** Fault that applies to appends. */
  enum Fault {
    NONE,
    REJECTS,
    UNRESPONSIVE,
    RESPONSE_LOST,
    APPLIED_LATE
  }

  void fault(Fault next) {
    fault = next;
  }

  int appends() {
    return appends;
  }

  /** Starts a term; writers of earlier terms are fenced. */
  JobStore open(long newEpoch) {
    epoch = newEpoch;
    nextSequence = ANY_SEQUENCE;
    return (sequence, records, done) -> append(newEpoch, sequence, records, done);
  }

  List<KeyedRecord> records() {
    return new ArrayList<>(newest.values());
  }

  /** Returns the keys of all records and deletions, in the order in which they were applied. */
  List<String> writtenKeys() {
    return writtenKeys;
  }

  KeyedRecord record(String key) {
    return newest.get(key);
  }

  void put(KeyedRecord record) {
    newest.put(record.key(), record);
  }

  void remove(String key) {
    newest.remove(key);
  }

  boolean holds(String key) {
    return newest.containsKey(key);
  }

  private void append(
      long writer, int sequence, List<KeyedRecord> records, Consumer<JobStore.Outcome> done) {
    appends++;
    switch (fault) {
      case NONE -> timer.after(RESPONSE_TIME, () -> done.accept(apply(writer, sequence, records)));
      case REJECTS -> timer.after(RESPONSE_TIME, () -> done.accept(JobStore.Outcome.NOT_STORED));
      case UNRESPONSIVE -> timer.after(TIMEOUT, () -> done.accept(JobStore.Outcome.UNKNOWN));
      case RESPONSE_LOST -> {
        apply(writer, sequence, records);
        timer.after(TIMEOUT, () -> done.accept(JobStore.Outcome.UNKNOWN));
      }
      default -> {
        // The append is applied long after the caller's timeout.
        timer.after(TIMEOUT.multipliedBy(5), () -> apply(writer, sequence, records));
        timer.after(TIMEOUT, () -> done.accept(JobStore.Outcome.UNKNOWN));
      }
    }
  }

  private JobStore.Outcome apply(long writer, int sequence, List<KeyedRecord> records) {
    if (writer < epoch) {
      return JobStore.Outcome.FENCED;
    }
    if (nextSequence == ANY_SEQUENCE) {
      nextSequence = sequence;
    }
    if (sequence < nextSequence) {
      return JobStore.Outcome.STORED;
    }
    if (sequence > nextSequence) {
      return JobStore.Outcome.OUT_OF_ORDER;
    }
    nextSequence++;
    for (KeyedRecord each : records) {
      writtenKeys.add(each.key());
      if (each.value().isEmpty()) {
        newest.remove(each.key());
      } else {
        newest.put(each.key(), each);
      }
    }
    return JobStore.Outcome.STORED;
  }
}
