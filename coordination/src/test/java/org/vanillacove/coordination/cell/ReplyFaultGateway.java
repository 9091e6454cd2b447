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

/** A gateway whose replies to renewals go wrong in a chosen way. */
final class ReplyFaultGateway implements WorkerGateway {
  final Set<String> refusing = new HashSet<>();
  Fault fault = Fault.NONE;
  private final WorkerGateway workers;
  private final TimerService timer;
  private int renewals;

  ReplyFaultGateway(WorkerGateway workers, TimerService timer) {
    this.workers = workers;
    this.timer = timer;
  }

  /** What goes wrong with replies. */
  enum Fault {
    NONE,
    /** Every second renewal takes effect but its reply is lost. */
    LOST,
    /** Every renewal takes effect twice and the second reply arrives. */
    DOUBLED,
    /** Replies to renewals arrive three seconds late. */
    LATE
  }

  @Override
  public CompletableFuture<WorkerReply> send(WorkerSpec worker, WorkerCommand command) {
    if (refusing.contains(worker.id())) {
      return CompletableFuture.completedFuture(new WorkerReply.Refused("connection refused"));
    }
    CompletableFuture<WorkerReply> reply = workers.send(worker, command);
    if (!(command instanceof WorkerCommand.Renew)) {
      return reply;
    }
    renewals++;
    return switch (fault) {
      case NONE -> reply;
      case LOST -> renewals % 2 == 0 ? reply : lost();
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

  private static CompletableFuture<WorkerReply> lost() {
    return CompletableFuture.completedFuture(new WorkerReply.Unknown("no answer"));
  }
}
