package org.vanillacove.coordination.cell;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.WorkerSpec;

/** Gateway that injects a fault into the replies to lease renewals. */
final class FaultyReplyGateway implements WorkerGateway {
  final Set<String> refusingWorkers = new HashSet<>();
  Fault fault = Fault.NONE;
  private final WorkerGateway workers;
  private final TimerService timer;
  private int renewals;

  FaultyReplyGateway(WorkerGateway workers, TimerService timer) {
    this.workers = workers;
    this.timer = timer;
  }

  /** Fault injected into replies. */
  enum Fault {
    NONE,
    /** The reply to every second renewal is lost; the renewal still takes effect. */
    LOST,
    /** Every renewal is executed twice and the second reply is returned. */
    DOUBLED,
    /** Replies to renewals are delayed by three seconds. */
    LATE
  }

  @Override
  public CompletableFuture<WorkerReply> send(WorkerSpec worker, WorkerCommand command) {
    if (refusingWorkers.contains(worker.id())) {
      return CompletableFuture.completedFuture(new WorkerReply.Refused("connection refused"));
    }
    CompletableFuture<WorkerReply> reply = workers.send(worker, command);
    if (!(command instanceof WorkerCommand.Renew)) {
      return reply;
    }
    renewals++;
    return switch (fault) {
      case NONE -> reply;
      case LOST -> renewals % 2 == 0 ? reply : lostReply();
      case DOUBLED -> workers.send(worker, command);
      case LATE -> {
        CompletableFuture<WorkerReply> late = new CompletableFuture<>();
        timer.after(Duration.ofSeconds(3), () -> late.complete(reply.join()));
        yield late;
      }
    };
  }

  @Override
  public CompletableFuture<Optional<List<WorkerSpec>>> listWorkers() {
    return workers.listWorkers();
  }

  private static CompletableFuture<WorkerReply> lostReply() {
    return CompletableFuture.completedFuture(new WorkerReply.Unknown("no response"));
  }
}
