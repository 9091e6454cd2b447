package org.vanillacove.coordination.cell;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.api.CellControl;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.coordination.stream.StreamWriter;
import org.vanillacove.coordination.stream.WriteResult;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.cell.ApplyOutcome;

/**
 * Accepts changes on any host. Each is appended to the log directly; whether it takes effect is
 * decided when the record is applied.
 */
final class CellController implements CellControl {
  /** Appends records to the log. */
  private final StreamWriter writer;

  /** Rejects jobs that can never run. */
  private final AdmissionCheck admission;

  /** Clock and timers. */
  private final TimerService timer;

  CellController(StreamWriter writer, AdmissionCheck admission, TimerService timer) {
    this.writer = writer;
    this.admission = admission;
    this.timer = timer;
  }

  @Override
  public CompletableFuture<ProposalOutcome> submitJob(
      String jobId, JobSpec spec, Duration deadline) {
    Optional<Admission.NeverFits> never = admission.check(spec);
    if (never.isPresent()) {
      String reason = "can never run; nearest that would fit: " + never.get().nearest();
      return CompletableFuture.completedFuture(
          new ProposalOutcome.Refused(never.get().constraint(), reason));
    }
    return propose(new CellRecord.JobAccepted(jobId, spec, timer.wallMillis()), deadline, jobId);
  }

  @Override
  public CompletableFuture<ProposalOutcome> cancelJob(
      String jobId, String reason, Duration deadline) {
    return propose(new CellRecord.JobCancelled(jobId, reason), deadline, jobId);
  }

  @Override
  public CompletableFuture<ProposalOutcome> putConfiguration(
      long basedOn, String document, String author, String reason, Duration deadline) {
    return propose(
        new CellRecord.ConfigurationChanged(basedOn, document, author, reason), deadline, "");
  }

  @Override
  public CompletableFuture<ProposalOutcome> changeWorker(
      String workerId, WorkerStatus status, String reason, Duration deadline) {
    return propose(new CellRecord.WorkerChanged(workerId, status, reason), deadline, "");
  }

  @Override
  public CompletableFuture<ProposalOutcome> declareLost(
      String region, Optional<String> zone, String reason, Duration deadline) {
    return propose(new CellRecord.DomainDeclaredLost(region, zone, reason), deadline, "");
  }

  private CompletableFuture<ProposalOutcome> propose(
      CellRecord record, Duration deadline, String retryId) {
    return writer
        .write(0, record, Optional.of(deadline))
        .thenApply(result -> outcomeOf(result, retryId));
  }

  private static ProposalOutcome outcomeOf(WriteResult result, String retryId) {
    return switch (result) {
      case WriteResult.NotAccepted refused ->
          new ProposalOutcome.Refused("", "not accepted: " + refused.reason());
      case WriteResult.Unknown unknown ->
          new ProposalOutcome.Unknown(
              retryId.isEmpty() ? unknown.proposalId() : retryId, unknown.reason());
      case WriteResult.Committed committed -> outcomeOf(committed);
    };
  }

  private static ProposalOutcome outcomeOf(WriteResult.Committed committed) {
    return switch (committed.outcome()) {
      case ApplyOutcome.Applied applied -> new ProposalOutcome.Accepted(committed.offset());
      case ApplyOutcome.Duplicate duplicate -> new ProposalOutcome.Accepted(committed.offset());
      case ApplyOutcome.StaleEpoch stale ->
          new ProposalOutcome.Refused("epoch", "a newer leadership epoch is in force");
      case ApplyOutcome.Invalid invalid ->
          new ProposalOutcome.Refused(invalid.field(), invalid.reason());
      case ApplyOutcome.Conflict conflict ->
          new ProposalOutcome.Conflict(conflict.inForce().version(), conflict.inForce().document());
    };
  }
}
