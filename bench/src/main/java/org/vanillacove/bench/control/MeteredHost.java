package org.vanillacove.bench.control;

import com.google.protobuf.ByteString;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.WorkerSpec;

/** Counts the processor time and the bytes of one host, on the one thread of the bench. */
final class MeteredHost {
  /** Processor time of the thread. */
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  /** Bytes reckoned for the headers of one message or call. */
  private static final long HEADER_BYTES = 60;

  /** Bytes reckoned for the content of a command or of the report of one task. */
  private static final long REPORT_BYTES = 30;

  /** Processor time so far in nanoseconds. */
  private long cpuNanos;

  /** Bytes sent and received so far. */
  private long bytes;

  MeteredHost() {}

  long cpuNanos() {
    return cpuNanos;
  }

  long bytes() {
    return bytes;
  }

  TimerService timer(TimerService clock) {
    return new TimerService() {
      @Override
      public long monotonicMillis() {
        return clock.monotonicMillis();
      }

      @Override
      public long wallMillis() {
        return clock.wallMillis();
      }

      @Override
      public Subscription after(Duration delay, Runnable action) {
        return clock.after(delay, () -> run(action));
      }

      @Override
      public Subscription every(Duration period, Runnable action) {
        return clock.every(period, () -> run(action));
      }
    };
  }

  PeerLink link(PeerLink shared) {
    return new PeerLink() {
      @Override
      public void send(String hostId, PeerChannel channel, ByteString payload) {
        count(payload.size());
        shared.send(hostId, channel, payload);
      }

      @Override
      public CompletableFuture<Optional<ByteString>> call(
          String hostId, PeerChannel channel, ByteString payload, Duration deadline) {
        count(payload.size());
        return shared
            .call(hostId, channel, payload, deadline)
            .thenApply(
                reply -> {
                  reply.ifPresent(content -> count(content.size()));
                  return reply;
                });
      }

      @Override
      public void register(PeerChannel channel, PeerHandler handler) {
        shared.register(channel, (from, payload) -> receive(handler, from, payload));
      }

      @Override
      public void setPeers(Map<String, String> addresses) {}
    };
  }

  PlatformLog log(PlatformLog shared) {
    return new PlatformLog() {
      @Override
      public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
        count(records.stream().mapToLong(ByteString::size).sum());
        return shared.append(records);
      }

      @Override
      public CompletableFuture<ReadOutcome> read(long fromOffset, int maxRecords) {
        return shared.read(fromOffset, maxRecords).thenApply(MeteredHost.this::countRead);
      }
    };
  }

  WorkerGateway gateway(WorkerGateway shared) {
    return new WorkerGateway() {
      @Override
      public CompletableFuture<WorkerReply> send(WorkerSpec worker, WorkerCommand command) {
        count(REPORT_BYTES);
        return shared.send(worker, command).thenApply(MeteredHost.this::countReply);
      }

      @Override
      public CompletableFuture<Optional<List<WorkerSpec>>> listWorkers() {
        return shared.listWorkers();
      }
    };
  }

  private CompletableFuture<Optional<ByteString>> receive(
      PeerLink.PeerHandler handler, String from, ByteString payload) {
    count(payload.size());
    long begun = THREADS.getCurrentThreadCpuTime();
    CompletableFuture<Optional<ByteString>> reply = handler.handle(from, payload);
    cpuNanos += THREADS.getCurrentThreadCpuTime() - begun;
    return reply;
  }

  private ReadOutcome countRead(ReadOutcome outcome) {
    if (outcome instanceof ReadOutcome.Batch batch) {
      count(batch.records().stream().mapToLong(ByteString::size).sum());
    }
    return outcome;
  }

  private WorkerReply countReply(WorkerReply reply) {
    if (reply instanceof WorkerReply.Done done) {
      count(REPORT_BYTES * done.tasks().size());
    }
    return reply;
  }

  private void run(Runnable action) {
    long begun = THREADS.getCurrentThreadCpuTime();
    action.run();
    cpuNanos += THREADS.getCurrentThreadCpuTime() - begun;
  }

  private void count(long content) {
    bytes += HEADER_BYTES + content;
  }
}
