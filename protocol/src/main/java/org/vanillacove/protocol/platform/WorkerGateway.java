package org.vanillacove.protocol.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.state.api.WorkerSpec;

/** Sends commands to workers and lists them. */
public interface WorkerGateway {
  /** Sends one command; the future always completes normally. */
  CompletableFuture<WorkerReply> send(WorkerSpec worker, WorkerCommand command);

  /** Lists the workers that the platform offers, empty if it did not respond. */
  CompletableFuture<Optional<List<WorkerSpec>>> listWorkers();
}
