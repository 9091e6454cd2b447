package org.vanillacove.coordination.api;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.WorkerStatus;

/** Changes of the cell that operators ask for; any entry host takes them. */
public interface CellControl {
  /** Submits a job under an identifier that the caller chose; repeating it is harmless. */
  CompletableFuture<ProposalOutcome> submitJob(String jobId, JobSpec spec, Duration deadline);

  /** Cancels a job. */
  CompletableFuture<ProposalOutcome> cancelJob(String jobId, String reason, Duration deadline);

  /** Puts a configuration document in force if {@code basedOn} is the version in force. */
  CompletableFuture<ProposalOutcome> putConfiguration(
      long basedOn, String document, String author, String reason, Duration deadline);

  /** Changes the status of a worker. */
  CompletableFuture<ProposalOutcome> changeWorker(
      String workerId, WorkerStatus status, String reason, Duration deadline);

  /** Declares a region or one of its zones lost. */
  CompletableFuture<ProposalOutcome> declareLost(
      String region, Optional<String> zone, String reason, Duration deadline);
}
