package org.vanillacove.coordination.stream;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.ProposalId;

/**
 * Appends records to the log in batches, one append at a time and with a minimum interval between
 * appends. The interval keeps the host within its share of the log's rate, also at peak load and
 * after an outage.
 *
 * <p>A batch whose response was lost is appended again with the same proposal identifiers until a
 * response arrives or its records appear in the stream. Duplicates are applied only once.
 */
public final class StreamWriter implements RecordListener {
  /** Maximum number of records per append. */
  static final int MAX_BATCH = 64;

  /** Maximum number of waiting records; further ones are rejected. */
  static final int MAX_WAITING = 4_000;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Delay before a failed append is retried. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Log that holds the records of the cell. */
  private final PlatformLog log;

  /** Applies appended records and reads the log after an unknown outcome. */
  private final StreamReader reader;

  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Clock and timers. */
  private final TimerService timer;

  /** Configured intervals and timeouts. */
  private final CellTimings timings;

  /** Identifier of this host, author of its records. */
  private final String hostId;

  /** Identifier of this host and of the incarnation of its process. */
  private final String writerId;

  /** Executor that guards the fields below. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Records that were not appended yet. */
  private final ArrayDeque<Proposal> waiting = new ArrayDeque<>();

  /** Records that were appended but not yet applied, by sequence number. */
  private final Map<Long, Proposal> appended = new LinkedHashMap<>();

  /** Records of the append that is in progress, failed or has an unknown outcome. */
  private List<Proposal> batch = List.of();

  /** Whether an append is in progress. */
  private boolean appending;

  /** Whether a flush is scheduled. */
  private boolean scheduled;

  /** Newest sequence number assigned to a record. */
  private long sequence;

  /** Monotonic time before which no append begins, in milliseconds. */
  private long notBeforeMillis;

  /** Creates a writer; {@code incarnation} must differ between runs of the host's process. */
  public StreamWriter(
      PlatformLog log,
      StreamReader reader,
      CellStore store,
      TimerService timer,
      CellTimings timings,
      String hostId,
      String incarnation) {
    this.log = log;
    this.reader = reader;
    this.store = store;
    this.timer = timer;
    this.timings = timings;
    this.hostId = hostId;
    this.writerId = hostId + "-" + incarnation;
    this.notBeforeMillis = timer.monotonicMillis();
  }

  /** Returns the identifier under which this incarnation of the host writes. */
  public String writerId() {
    return writerId;
  }

  /** Writes a record without a deadline; it is retried until its outcome is known. */
  public CompletableFuture<WriteResult> write(long epoch, CellRecord record) {
    return write(epoch, record, Optional.empty());
  }

  /** Writes a record; the result is the outcome, or what is known of it at the deadline. */
  public CompletableFuture<WriteResult> write(
      long epoch, CellRecord record, Optional<Duration> deadline) {
    Proposal proposal = new Proposal(epoch, record);
    shard.execute(() -> enqueue(proposal));
    deadline.ifPresent(
        time -> {
          TimerService.Subscription timeout =
              timer.after(time, () -> shard.execute(() -> expire(proposal)));
          proposal.result.whenComplete((result, error) -> timeout.cancel());
        });
    return proposal.result;
  }

  /** Returns whether no record is waiting, being appended or not yet applied. */
  public boolean isIdle() {
    return shard.read(() -> waiting.isEmpty() && batch.isEmpty() && appended.isEmpty());
  }

  /** Closes the writer; unsent records are rejected, the others have an unknown outcome. */
  public void close() {
    shard.read(
        () -> {
          waiting.forEach(proposal -> reject(proposal, "the host stopped"));
          batch.forEach(proposal -> completeAsUnknown(proposal, "the host stopped"));
          appended.values().forEach(proposal -> completeAsUnknown(proposal, "the host stopped"));
          return null;
        });
    shard.close();
  }

  @Override
  public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {
    if (envelope.author().equals(hostId) && !(outcome instanceof ApplyOutcome.Duplicate)) {
      ProposalId.parse(envelope.proposalId())
          .filter(proposal -> proposal.writer().equals(writerId))
          .ifPresent(
              proposal -> shard.execute(() -> resolve(proposal.sequence(), offset, outcome)));
    }
  }

  @Override
  public void stateReplaced() {
    long appliedSequence = store.read(state -> state.sequenceOf(writerId));
    shard.execute(() -> completeThrough(appliedSequence));
  }

  private void enqueue(Proposal proposal) {
    if (waiting.size() >= MAX_WAITING) {
      reject(proposal, "too many records are waiting to be appended to the log");
      return;
    }
    waiting.add(proposal);
    schedule();
  }

  private void schedule() {
    if (scheduled || appending || (waiting.isEmpty() && batch.isEmpty())) {
      return;
    }
    scheduled = true;
    long delay = Math.max(0, notBeforeMillis - timer.monotonicMillis());
    timer.after(Duration.ofMillis(delay), () -> shard.execute(this::flush));
  }

  private void flush() {
    scheduled = false;
    if (appending) {
      return;
    }
    if (batch.isEmpty()) {
      batch = nextBatch();
    }
    if (batch.isEmpty()) {
      return;
    }
    appending = true;
    notBeforeMillis = timer.monotonicMillis() + timings.batch().toMillis();
    List<ByteString> bytes = batch.stream().map(this::encode).toList();
    log.append(bytes).thenAccept(outcome -> shard.execute(() -> handleAppend(outcome, bytes)));
  }

  private List<Proposal> nextBatch() {
    List<Proposal> batchRecords = new ArrayList<>();
    while (!waiting.isEmpty() && batchRecords.size() < MAX_BATCH) {
      Proposal proposal = waiting.poll();
      if (!proposal.result.isDone()) {
        proposal.sequence = ++sequence;
        batchRecords.add(proposal);
      }
    }
    return batchRecords;
  }

  private ByteString encode(Proposal proposal) {
    return RecordCodec.encode(
        new RecordEnvelope(idOf(proposal), proposal.epoch, hostId, proposal.record));
  }

  private String idOf(Proposal proposal) {
    return new ProposalId(writerId, proposal.sequence).toString();
  }

  private void handleAppend(AppendOutcome outcome, List<ByteString> bytes) {
    appending = false;
    switch (outcome) {
      case AppendOutcome.Appended done -> {
        for (Proposal proposal : batch) {
          if (!proposal.applied) {
            appended.put(proposal.sequence, proposal);
          }
        }
        batch = List.of();
        reader.appended(done.firstOffset(), bytes);
      }
      case AppendOutcome.Refused refused -> {
        LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
            "stream: append refused: %s.", refused.reason());
        if (!batch.isEmpty() && batch.getFirst().unanswered) {
          delayRetry();
        } else {
          requeueBatch();
        }
      }
      case AppendOutcome.Unknown unknown -> {
        batch.forEach(proposal -> proposal.unanswered = true);
        delayRetry();
        reader.readSoon();
      }
    }
    schedule();
  }

  private void requeueBatch() {
    for (int i = batch.size() - 1; i >= 0; i--) {
      Proposal proposal = batch.get(i);
      proposal.sequence = 0;
      if (!proposal.result.isDone()) {
        waiting.addFirst(proposal);
      }
    }
    batch = List.of();
    delayRetry();
  }

  private void delayRetry() {
    notBeforeMillis = timer.monotonicMillis() + RETRY_DELAY.toMillis();
  }

  private void resolve(long number, long offset, ApplyOutcome outcome) {
    Proposal proposal = appended.remove(number);
    if (proposal == null) {
      proposal = findInBatch(number);
    }
    if (proposal != null) {
      proposal.applied = true;
      proposal.result.complete(new WriteResult.Committed(offset, outcome));
    }
    clearAppliedBatch();
  }

  private Proposal findInBatch(long number) {
    for (Proposal proposal : batch) {
      if (proposal.sequence == number) {
        return proposal;
      }
    }
    return null;
  }

  private void clearAppliedBatch() {
    if (!appending && !batch.isEmpty() && batch.stream().allMatch(proposal -> proposal.applied)) {
      batch = List.of();
      schedule();
    }
  }

  private void completeThrough(long appliedSequence) {
    appended.values().removeIf(proposal -> completeIfApplied(proposal, appliedSequence));
    batch.forEach(proposal -> completeIfApplied(proposal, appliedSequence));
    clearAppliedBatch();
  }

  private boolean completeIfApplied(Proposal proposal, long appliedSequence) {
    if (proposal.sequence > appliedSequence) {
      return false;
    }
    proposal.applied = true;
    completeAsUnknown(
        proposal, "the record was loaded as part of a snapshot, its effect is not known");
    return true;
  }

  private void expire(Proposal proposal) {
    if (proposal.result.isDone()) {
      return;
    }
    if (waiting.remove(proposal)) {
      reject(proposal, "the log did not accept the record in time");
    } else {
      completeAsUnknown(proposal, "the log did not respond in time");
    }
  }

  private static void reject(Proposal proposal, String reason) {
    proposal.result.complete(new WriteResult.NotAccepted(reason));
  }

  private void completeAsUnknown(Proposal proposal, String reason) {
    proposal.result.complete(new WriteResult.Unknown(idOf(proposal), reason));
  }

  /** A record with the future of its outcome. */
  private static final class Proposal {
    /** Leadership epoch, zero if the record needs no leader. */
    private final long epoch;

    /** Record to be written. */
    private final CellRecord record;

    /** Completed with the first known outcome. */
    private final CompletableFuture<WriteResult> result = new CompletableFuture<>();

    /** Sequence number among the writer's records, zero before the first append. */
    private long sequence;

    /** Whether an append of the record had no response, so that it may be in the log. */
    private boolean unanswered;

    /** Whether the record was applied to the cell state. */
    private boolean applied;

    Proposal(long epoch, CellRecord record) {
      this.epoch = epoch;
      this.record = record;
    }
  }
}
