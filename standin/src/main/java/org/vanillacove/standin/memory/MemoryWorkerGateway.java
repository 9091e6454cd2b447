package org.vanillacove.standin.memory;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.WorkerSpec;

/** A gateway to in-memory workers that can simulate lost commands and replies; thread-safe. */
public final class MemoryWorkerGateway implements WorkerGateway {
  /** Listed workers by identifier. */
  private final Map<String, WorkerModel> workers = new ConcurrentSkipListMap<>();

  /** Identifiers of workers that commands do not reach. */
  private final Set<String> unreachable = ConcurrentHashMap.newKeySet();

  /** Identifiers of workers that carry out commands but whose replies are lost. */
  private final Set<String> losingReplies = ConcurrentHashMap.newKeySet();

  /** Adds a worker to the platform's worker list. */
  public void add(WorkerModel worker) {
    workers.put(worker.spec().id(), worker);
  }

  /** Removes a worker from the platform's worker list. */
  public void remove(String workerId) {
    workers.remove(workerId);
  }

  /** Sets whether commands to a worker are lost. */
  public void setUnreachable(String workerId, boolean cut) {
    if (cut) {
      unreachable.add(workerId);
    } else {
      unreachable.remove(workerId);
    }
  }

  /** Sets whether the replies of a worker are lost. */
  public void setLosingReplies(String workerId, boolean losing) {
    if (losing) {
      losingReplies.add(workerId);
    } else {
      losingReplies.remove(workerId);
    }
  }

  @Override
  public CompletableFuture<WorkerReply> send(WorkerSpec spec, WorkerCommand command) {
    WorkerModel worker = workers.get(spec.id());
    WorkerReply reply = new WorkerReply.Unknown("no response from the worker");
    if (worker != null && !unreachable.contains(spec.id())) {
      WorkerReply sent = worker.handle(command);
      reply = losingReplies.contains(spec.id()) ? reply : sent;
    }
    return CompletableFuture.completedFuture(reply);
  }

  @Override
  public CompletableFuture<Optional<List<WorkerSpec>>> listWorkers() {
    List<WorkerSpec> specs = workers.values().stream().map(WorkerModel::spec).toList();
    return CompletableFuture.completedFuture(Optional.of(specs));
  }
}
