package org.vanillacove.bench.faults;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.state.api.WorkerSpec;

/**
 * Environment of one incarnation of a host's process: its timers, links and calls, which are
 * suspended while the process is paused and end when it is killed. Calls take time, so that a fault
 * can occur between a command and its reply.
 */
final class FaultyHost {
  /** Clock of the schedule, which times the latency of calls. */
  private final ManualTimerService clock;

  /** Drifting clock of the host. */
  private final TimerService hostClock;

  /** Log shared by all hosts. */
  private final PlatformLog sharedLog;

  /** Gateway to the workers, shared by all hosts. */
  private final WorkerGateway sharedGateway;

  /** Link of this host to its peers, which outlives the process. */
  private final PeerLink sharedLink;

  /** One-way latency of a call, in milliseconds. */
  private final long delayMillis;

  /** Actions that came due during a pause and run at its end, in order. */
  private final Deque<Runnable> deferred = new ArrayDeque<>();

  /** Identifiers of the workers that this host cannot reach. */
  private final Set<String> cutWorkers = new HashSet<>();

  /** Whether this host cannot reach the log. */
  private boolean logCut;

  /** Whether the process is paused. */
  private boolean paused;

  /** Whether the process was killed. */
  private boolean dead;

  FaultyHost(
      ManualTimerService clock,
      TimerService hostClock,
      PlatformLog sharedLog,
      WorkerGateway sharedGateway,
      PeerLink sharedLink,
      long delayMillis) {
    this.clock = clock;
    this.hostClock = hostClock;
    this.sharedLog = sharedLog;
    this.sharedGateway = sharedGateway;
    this.sharedLink = sharedLink;
    this.delayMillis = delayMillis;
  }

  TimerService timer() {
    return new ProcessTimer();
  }

  PeerLink link() {
    return new ProcessLink();
  }

  PlatformLog log() {
    return new ProcessLog();
  }

  WorkerGateway gateway() {
    return new ProcessGateway();
  }

  void kill() {
    dead = true;
    deferred.clear();
  }

  boolean isPaused() {
    return paused;
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    while (!paused && !deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  void setLogCut(boolean cut) {
    logCut = cut;
  }

  void setWorkerCut(String workerId, boolean cut) {
    if (cut) {
      cutWorkers.add(workerId);
    } else {
      cutWorkers.remove(workerId);
    }
  }

  /** Runs an action of the process, after its pause if it is paused, never if it was killed. */
  private void run(Runnable action) {
    if (dead) {
      return;
    }
    if (paused) {
      deferred.add(action);
    } else {
      action.run();
    }
  }

  /** Completes a call after a round trip, during which the process may be paused or killed. */
  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> effect) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    Duration way = Duration.ofMillis(delayMillis);
    clock.after(
        way,
        () ->
            effect
                .get()
                .thenAccept(value -> clock.after(way, () -> run(() -> answer.complete(value)))));
    return answer;
  }

  /** Timers that fire only while the process runs. */
  private final class ProcessTimer implements TimerService {
    @Override
    public long monotonicMillis() {
      return hostClock.monotonicMillis();
    }

    @Override
    public long wallMillis() {
      return hostClock.wallMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable action) {
      return hostClock.after(delay, () -> run(action));
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
      return hostClock.every(period, () -> runOnce(action));
    }

    private void runOnce(Runnable action) {
      if (!deferred.contains(action)) {
        run(action);
      }
    }
  }

  /** Link that delivers messages and replies only while the process runs. */
  private final class ProcessLink implements PeerLink {
    @Override
    public void send(String hostId, PeerChannel channel, ByteString payload) {
      sharedLink.send(hostId, channel, payload);
    }

    @Override
    public CompletableFuture<Optional<ByteString>> call(
        String hostId, PeerChannel channel, ByteString payload, Duration deadline) {
      CompletableFuture<Optional<ByteString>> answer = new CompletableFuture<>();
      sharedLink
          .call(hostId, channel, payload, deadline)
          .thenAccept(reply -> run(() -> answer.complete(reply)));
      return answer;
    }

    @Override
    public void register(PeerChannel channel, PeerHandler handler) {
      sharedLink.register(
          channel,
          (from, payload) -> {
            CompletableFuture<Optional<ByteString>> reply = new CompletableFuture<>();
            run(() -> handler.handle(from, payload).thenAccept(reply::complete));
            return reply;
          });
    }

    @Override
    public void setPeers(Map<String, String> addresses) {}
  }

  /** Log with call latency, unreachable while the host is cut off from it. */
  private final class ProcessLog implements PlatformLog {
    @Override
    public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
      return call(
          () ->
              logCut
                  ? CompletableFuture.completedFuture(new AppendOutcome.Unknown("no answer"))
                  : sharedLog.append(records));
    }

    @Override
    public CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
      return call(
          () ->
              logCut
                  ? CompletableFuture.completedFuture(new ReadOutcome.Unavailable("no answer"))
                  : sharedLog.read(fromOffset, maxRecords));
    }
  }

  /** Gateway with call latency, on which workers may be unreachable from this host. */
  private final class ProcessGateway implements WorkerGateway {
    @Override
    public CompletableFuture<WorkerReply> send(WorkerSpec worker, WorkerCommand command) {
      return call(
          () ->
              cutWorkers.contains(worker.id())
                  ? CompletableFuture.completedFuture(new WorkerReply.Unknown("no answer"))
                  : sharedGateway.send(worker, command));
    }

    @Override
    public CompletableFuture<Optional<List<WorkerSpec>>> listWorkers() {
      return call(sharedGateway::listWorkers);
    }
  }
}
