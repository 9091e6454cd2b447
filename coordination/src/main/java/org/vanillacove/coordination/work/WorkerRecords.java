package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.state.api.Resources;

/**
 * Durable records of the workers that may hold runs. A new leader restarts tasks only after each
 * recorded worker has reported or its lease has lapsed. A worker therefore gets neither a run nor a
 * lease while its record isn't durable.
 */
final class WorkerRecords {
  /** Logs records that are written and removed (prefix {@code workers:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Incarnation and capacity in a record; former releases wrote the incarnation only. */
  private static final Pattern RECORD =
      Pattern.compile(
          "-?\\d{1,19} (?<cpu>\\d{1,15}) (?<memory>\\d{1,15}) (?<accelerators>\\d{1,9})");

  /** Writes the records to the store. */
  private final JobRecorder recorder;

  /** Called when a record has become durable. */
  private final Runnable stored;

  /** Workers whose record is durable and not being removed. */
  private final Set<String> durable = new HashSet<>();

  /** Number of the pending write of each worker whose record isn't durable yet. */
  private final Map<String, Long> pending = new HashMap<>();

  /** Number of the last write. */
  private long lastWrite;

  /**
   * Creates an empty set of records.
   *
   * @param recorder writes the records to the store
   * @param stored called when a record has become durable
   */
  WorkerRecords(JobRecorder recorder, Runnable stored) {
    this.recorder = recorder;
    this.stored = stored;
  }

  /** Takes over the records that former leaders left in the store. */
  void load(Collection<String> workers) {
    durable.addAll(workers);
  }

  /** Returns whether the record of a worker is durable, so that the worker may hold runs. */
  boolean contains(String worker) {
    return durable.contains(worker);
  }

  /**
   * Returns the workers of the loaded records and the capacity of each at the time of its record,
   * empty if the record doesn't hold it.
   */
  static Map<String, Optional<Resources>> capacities(List<KeyedRecord> records) {
    Map<String, Optional<Resources>> capacities = new HashMap<>();
    for (KeyedRecord each : records) {
      if (each.key().startsWith(JobRecords.WORKER)) {
        capacities.put(
            each.key().substring(JobRecords.WORKER.length()),
            capacity(each.value().toStringUtf8()));
      }
    }
    return capacities;
  }

  private static Optional<Resources> capacity(String record) {
    Matcher matcher = RECORD.matcher(record);
    return matcher.matches()
        ? Optional.of(
            new Resources(
                Long.parseLong(matcher.group("cpu")),
                Long.parseLong(matcher.group("memory")),
                Integer.parseInt(matcher.group("accelerators"))))
        : Optional.empty();
  }

  private static ByteString encode(WorkerEntry entry) {
    Resources capacity = entry.capacity();
    return ByteString.copyFromUtf8(
        String.format(
            Locale.ROOT,
            "%d %d %d %d",
            entry.incarnation(),
            capacity.cpuMillis(),
            capacity.memoryMib(),
            capacity.accelerators()));
  }

  /** Writes the record of a worker unless it is durable or being written. */
  void add(WorkerEntry entry) {
    String worker = entry.id();
    if (durable.contains(worker) || pending.containsKey(worker)) {
      return;
    }
    lastWrite++;
    long write = lastWrite;
    pending.put(worker, write);
    recorder.write(
        JobRecords.WORKER + worker,
        () -> encode(entry),
        () -> {
          // The record may have been removed since, and then perhaps written again.
          if (pending.remove(worker, write)) {
            durable.add(worker);
            LOG.atInfo().log("workers: recorded worker=%s", worker);
            stored.run();
          }
        });
  }

  /** Removes the record of a worker that certainly holds no runs. */
  void remove(String worker) {
    boolean known = pending.remove(worker) != null;
    if (!durable.remove(worker) && !known) {
      return;
    }
    LOG.atInfo().log("workers: removing record worker=%s", worker);
    recorder.write(JobRecords.WORKER + worker, () -> ByteString.EMPTY, () -> {});
  }
}
