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
import org.vanillacove.state.cell.FoldOutcome;
import org.vanillacove.state.cell.ProposalId;

/**
 * Appends records in batches, one append at a time and with a shortest interval between appends, so
 * that neither the peak nor the time after an outage passes the host's share of the log's rate.
 *
 * <p>A batch whose answer was lost is appended again with the same proposal identifiers until an
 * answer comes or its records turn up in the stream; the fold takes each of them once.
 */
public final class StreamWriter implements FoldListener {
  /** Records of one append. */
  static final int MAX_BATCH = 64;

  /** Records that may wait; later ones are refused. */
  static final int MAX_WAITING = 4_000;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Delay before an append that failed is tried again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** The log. */
  private final PlatformLog log;

  /** Asked to read the tail after each append. */
  private final StreamReader reader;

  /** The folded state. */
  private final CellStore store;

  /** Source of time. */
  private final TimerService timer;

  /** Times that are kept. */
  private final CellTimings timings;

  /** This host. */
  private final String hostId;

  /** This host together with this run of its process. */
  private final String writerId;

  /** Serialises the state below. */
  private final EventShard shard = new EventShard();

  /** Records that wait for an append. */
  private final ArrayDeque<Proposal> waiting = new ArrayDeque<>();

  /** Records that were appended and not yet folded, by sequence number. */
  private final Map<Long, Proposal> appended = new LinkedHashMap<>();

  /** Records of the append under way or whose fate is not known. */
  private List<Proposal> batch = List.of();

  /** Whether an append is under way. */
  private boolean appending;

  /** Whether a flush is scheduled. */
  private boolean scheduled;

  /** Sequence number of the newest record sent. */
  private long sequence;

  /** Monotonic time before which no append begins, in milliseconds. */
  private long notBeforeMillis;

  /** Creates a writer; {@code incarnation} tells runs of the host's process apart. */
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

  /** Returns the identifier under which this run of the host writes. */
  public String writerId() {
    return writerId;
  }

  /** Writes a record without a deadline; it is tried until its fate is known. */
  public CompletableFuture<WriteResult> write(long epoch, CellRecord record) {
    return write(epoch, record, Optional.empty());
  }

  /** Writes a record; after {@code deadline} the result says what is known then. */
  public CompletableFuture<WriteResult> write(
      long epoch, CellRecord record, Optional<Duration> deadline) {
    Proposal proposal = new Proposal(epoch, record);
    shard.execute(() -> add(proposal));
    deadline.ifPresent(
        time -> {
          TimerService.Subscription timeout =
              timer.after(time, () -> shard.execute(() -> expire(proposal)));
          proposal.result.whenComplete((result, error) -> timeout.cancel());
        });
    return proposal.result;
  }

  /** Returns whether nothing waits, is under way or unknown. */
  public boolean isIdle() {
    return shard.read(() -> waiting.isEmpty() && batch.isEmpty() && appended.isEmpty());
  }

  /** Ends all work; records not yet sent are refused, others are unknown. */
  public void close() {
    shard.read(
        () -> {
          waiting.forEach(proposal -> refuse(proposal, "the host stopped"));
          batch.forEach(proposal -> unknown(proposal, "the host stopped"));
          appended.values().forEach(proposal -> unknown(proposal, "the host stopped"));
          return null;
        });
    shard.close();
  }

  @Override
  public void folded(long offset, RecordEnvelope envelope, FoldOutcome outcome) {
    if (envelope.author().equals(hostId) && !(outcome instanceof FoldOutcome.Duplicate)) {
      ProposalId.parse(envelope.proposalId())
          .filter(proposal -> proposal.writer().equals(writerId))
          .ifPresent(
              proposal -> shard.execute(() -> resolve(proposal.sequence(), offset, outcome)));
    }
  }

  @Override
  public void reloaded() {
    long folded = store.read(state -> state.sequenceOf(writerId));
    shard.execute(() -> settleThrough(folded));
  }

  private void add(Proposal proposal) {
    if (waiting.size() >= MAX_WAITING) {
      refuse(proposal, "too many records wait for the log");
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
      batch = takeBatch();
    }
    if (batch.isEmpty()) {
      return;
    }
    appending = true;
    notBeforeMillis = timer.monotonicMillis() + timings.batch().toMillis();
    List<ByteString> bytes = batch.stream().map(this::encode).toList();
    log.append(bytes).thenAccept(outcome -> shard.execute(() -> handle(outcome, bytes)));
  }

  private List<Proposal> takeBatch() {
    List<Proposal> taken = new ArrayList<>();
    while (!waiting.isEmpty() && taken.size() < MAX_BATCH) {
      Proposal proposal = waiting.poll();
      if (!proposal.result.isDone()) {
        proposal.sequence = ++sequence;
        taken.add(proposal);
      }
    }
    return taken;
  }

  private ByteString encode(Proposal proposal) {
    return RecordCodec.encode(
        new RecordEnvelope(idOf(proposal), proposal.epoch, hostId, proposal.record));
  }

  private String idOf(Proposal proposal) {
    return new ProposalId(writerId, proposal.sequence).toString();
  }

  private void handle(AppendOutcome outcome, List<ByteString> bytes) {
    appending = false;
    switch (outcome) {
      case AppendOutcome.Appended done -> {
        for (Proposal proposal : batch) {
          if (!proposal.folded) {
            appended.put(proposal.sequence, proposal);
          }
        }
        batch = List.of();
        reader.appended(done.firstOffset(), bytes);
      }
      case AppendOutcome.Refused refused -> {
        LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
            "stream: append refused: %s.", refused.reason());
        if (!batch.isEmpty() && batch.getFirst().sent) {
          delayRetry();
        } else {
          putBack();
        }
      }
      case AppendOutcome.Unknown unknown -> {
        batch.forEach(proposal -> proposal.sent = true);
        delayRetry();
        reader.readSoon();
      }
    }
    schedule();
  }

  private void putBack() {
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

  private void resolve(long number, long offset, FoldOutcome outcome) {
    Proposal proposal = appended.remove(number);
    if (proposal == null) {
      proposal = inBatch(number);
    }
    if (proposal != null) {
      proposal.folded = true;
      proposal.result.complete(new WriteResult.Folded(offset, outcome));
    }
    dropFoldedBatch();
  }

  private Proposal inBatch(long number) {
    for (Proposal proposal : batch) {
      if (proposal.sequence == number) {
        return proposal;
      }
    }
    return null;
  }

  private void dropFoldedBatch() {
    if (!appending && !batch.isEmpty() && batch.stream().allMatch(proposal -> proposal.folded)) {
      batch = List.of();
      schedule();
    }
  }

  private void settleThrough(long folded) {
    appended.values().removeIf(proposal -> settleIfFolded(proposal, folded));
    batch.forEach(proposal -> settleIfFolded(proposal, folded));
    dropFoldedBatch();
  }

  private boolean settleIfFolded(Proposal proposal, long folded) {
    if (proposal.sequence > folded) {
      return false;
    }
    proposal.folded = true;
    unknown(proposal, "the record was folded as a part of a snapshot");
    return true;
  }

  private void expire(Proposal proposal) {
    if (proposal.result.isDone()) {
      return;
    }
    if (waiting.remove(proposal)) {
      refuse(proposal, "the log did not take the record in time");
    } else {
      unknown(proposal, "the log did not answer in time");
    }
  }

  private static void refuse(Proposal proposal, String reason) {
    proposal.result.complete(new WriteResult.NotAccepted(reason));
  }

  private void unknown(Proposal proposal, String reason) {
    proposal.result.complete(new WriteResult.Unknown(idOf(proposal), reason));
  }

  /** A record on its way. */
  private static final class Proposal {
    /** Leadership epoch, zero if the record needs no leader. */
    private final long epoch;

    /** The record. */
    private final CellRecord record;

    /** Completed once. */
    private final CompletableFuture<WriteResult> result = new CompletableFuture<>();

    /** Sequence number among the writer's records, zero before the first append. */
    private long sequence;

    /** Whether an append of it had no answer. */
    private boolean sent;

    /** Whether it was folded. */
    private boolean folded;

    Proposal(long epoch, CellRecord record) {
      this.epoch = epoch;
      this.record = record;
    }
  }
}
