package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vanillacove.coordination.work.api.CancelOutcome;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.work.JobSpec;

/**
 * Durable tombstones of jobs that were cancelled while no such job was known. The submission of
 * such a job may still be on its way, for instance in the sockets of a suspended host; it is
 * rejected when it arrives. A cancellation counts only once its tombstone is durable.
 */
final class Tombstones {
  /** Logs tombstones that are refused, stored and loaded (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Maximum number of tombstones; a new leader reads them all before it serves. */
  static final int MAX_TOMBSTONES = 10_000;

  /** Writes the records. */
  private final JobRecorder recorder;

  /** Counts tombstones and those that are refused. */
  private final CellMetrics metrics;

  /** Clock by which tombstones expire. */
  private final TimerService timer;

  /** Time for which a tombstone is kept after its last cancellation, in milliseconds. */
  private final long retentionMillis;

  /**
   * Monotonic time in milliseconds of the last cancellation for each durable tombstone, in the
   * order of these times.
   */
  private final Map<Tombstone, Long> durable = new LinkedHashMap<>();

  /** Tombstones that are being written. */
  private final Set<Tombstone> pending = new HashSet<>();

  /** Callers whose cancellation waits for a tombstone, by the key of its record. */
  private final PendingCallers<CancelOutcome> callers = new PendingCallers<>();

  /** Creates an empty set that keeps each tombstone for {@code retentionMillis}. */
  Tombstones(JobRecorder recorder, CellMetrics metrics, TimerService timer, long retentionMillis) {
    this.recorder = recorder;
    this.metrics = metrics;
    this.timer = timer;
    this.retentionMillis = retentionMillis;
  }

  /**
   * Cancellation of an unknown job.
   *
   * @param job identifier of the job
   * @param organisation organisation of the caller, empty if it has none; other organisations may
   *     submit a job under the same identifier
   */
  record Tombstone(String job, Optional<String> organisation) {}

  /** Takes over the tombstones that former leaders left in the store. */
  void load(List<KeyedRecord> records) {
    long now = timer.monotonicMillis();
    for (KeyedRecord each : records) {
      if (each.key().startsWith(TombstoneRecords.PREFIX)) {
        TombstoneRecords.parse(each.value())
            .ifPresentOrElse(
                tombstone -> durable.put(tombstone, now),
                () -> LOG.atWarning().log("jobs: skipping malformed record key=%s", each.key()));
      }
    }
  }

  /** Returns whether a job was cancelled by its organisation before its submission arrived. */
  boolean contains(JobSpec spec) {
    Tombstone tombstone = new Tombstone(spec.id(), spec.organisation());
    return durable.containsKey(tombstone) || pending.contains(tombstone);
  }

  /** Records the cancellation of an unknown job; {@code done} gets the outcome once it is known. */
  void add(Tombstone tombstone, Consumer<CancelOutcome> done) {
    if (durable.remove(tombstone) != null) {
      durable.put(tombstone, timer.monotonicMillis());
      done.accept(CancelOutcome.NO_SUCH_JOB);
    } else if (recorder.isStoreUnavailable()) {
      boolean uncertain = pending.contains(tombstone);
      done.accept(uncertain ? CancelOutcome.UNKNOWN : refuse(tombstone, "store away"));
    } else if (pending.contains(tombstone)) {
      callers.add(TombstoneRecords.key(tombstone), done);
    } else if (durable.size() + pending.size() >= MAX_TOMBSTONES) {
      done.accept(refuse(tombstone, "too many tombstones"));
    } else {
      pending.add(tombstone);
      callers.add(TombstoneRecords.key(tombstone), done);
      long begun = timer.monotonicMillis();
      recorder.accept(
          TombstoneRecords.key(tombstone),
          TombstoneRecords.encode(tombstone),
          outcome -> written(tombstone, begun, outcome));
    }
  }

  /** Deletes the tombstones whose retention time is over. */
  void expire(long nowMillis) {
    Iterator<Map.Entry<Tombstone, Long>> oldest = durable.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<Tombstone, Long> each = oldest.next();
      if (nowMillis - each.getValue() <= retentionMillis) {
        return;
      }
      oldest.remove();
      recorder.write(TombstoneRecords.key(each.getKey()), () -> ByteString.EMPTY, () -> {});
    }
  }

  /** Answers all pending callers at the end of the term. */
  void close() {
    callers.answerAll(CancelOutcome.TERM_ENDED);
  }

  private CancelOutcome refuse(Tombstone tombstone, String reason) {
    LOG.atInfo().log(
        "jobs: cancel refused job=%s organisation=%s reason=%s tombstones=%d",
        tombstone.job(), tombstone.organisation().orElse("none"), reason, durable.size());
    metrics.countTombstone(reason);
    return CancelOutcome.REJECTED;
  }

  private void written(Tombstone tombstone, long begunMillis, JobRecorder.WriteOutcome outcome) {
    long now = timer.monotonicMillis();
    LOG.atInfo().log(
        "jobs: cancel unknown job=%s organisation=%s outcome=%s ms=%d",
        tombstone.job(), tombstone.organisation().orElse("none"), outcome, now - begunMillis);
    metrics.countTombstone(outcome.name().toLowerCase(Locale.ROOT));
    if (outcome != JobRecorder.WriteOutcome.UNKNOWN) {
      pending.remove(tombstone);
    }
    if (outcome == JobRecorder.WriteOutcome.STORED) {
      durable.put(tombstone, now);
    }
    callers.answer(TombstoneRecords.key(tombstone), cancelOutcome(outcome));
  }

  private CancelOutcome cancelOutcome(JobRecorder.WriteOutcome outcome) {
    if (outcome == JobRecorder.WriteOutcome.STORED) {
      return CancelOutcome.NO_SUCH_JOB;
    }
    if (recorder.isClosed()) {
      return CancelOutcome.TERM_ENDED;
    }
    return outcome == JobRecorder.WriteOutcome.NOT_STORED
        ? CancelOutcome.REJECTED
        : CancelOutcome.UNKNOWN;
  }
}
