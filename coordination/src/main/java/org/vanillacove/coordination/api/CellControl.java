package org.vanillacove.coordination.api;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.WorkerStatus;

/** Changes of the cell that operators request; any entry host accepts them. */
public interface CellControl {
  /** Submits a job under an identifier chosen by the caller; the call is idempotent. */
  CompletableFuture<ProposalOutcome> submitJob(String jobId, JobSpec spec, Duration deadline);

  /** Cancels a job for the given reason. */
  CompletableFuture<ProposalOutcome> cancelJob(String jobId, String reason, Duration deadline);

  /** Puts a configuration document in force if {@code basedOn} is the version in force. */
  CompletableFuture<ProposalOutcome> putConfiguration(
      long basedOn, String document, String author, String reason, Duration deadline);

  /** Sets whether a worker accepts new tasks. */
  CompletableFuture<ProposalOutcome> changeWorker(
      String workerId, WorkerStatus status, String reason, Duration deadline);

  /** Declares a region or one of its zones lost. */
  CompletableFuture<ProposalOutcome> declareLost(
      String region, Optional<String> zone, String reason, Duration deadline);
}
