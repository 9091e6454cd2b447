package org.vanillacove.bench.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.codec.WorkerMessageCodec;
import org.vanillacove.protocol.generated.MembershipMessage;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.PlatformLog;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerGateway;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.WorkerSpec;

/** Measures processor time and transferred bytes of one host; all hosts share one thread. */
final class MeteredHost {
  /** Provides the processor time of the current thread. */
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  /** Estimated size of the headers of a message or call, in bytes. */
  private static final long HEADER_BYTES = 60;

  /** Processor time used so far, in nanoseconds. */
  private long cpuNanos;

  /** Number of bytes sent and received so far, by kind of message. */
  private final Map<String, Long> bytes = new TreeMap<>();

  MeteredHost() {}

  long cpuNanos() {
    return cpuNanos;
  }

  long bytes() {
    return bytes.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns a copy of the number of bytes sent and received so far, by kind of message. */
  Map<String, Long> bytesByKind() {
    return new TreeMap<>(bytes);
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
        countMessage(kindOf(channel, payload), payload.size());
        shared.send(hostId, channel, payload);
      }

      @Override
      public CompletableFuture<Optional<ByteString>> call(
          String hostId, PeerChannel channel, ByteString payload, Duration deadline) {
        String kind = kindOf(channel, payload);
        countMessage(kind, payload.size());
        return shared
            .call(hostId, channel, payload, deadline)
            .thenApply(
                reply -> {
                  reply.ifPresent(content -> countMessage(kind, content.size()));
                  return reply;
                });
      }

      @Override
      public void register(PeerChannel channel, PeerHandler handler) {
        shared.register(channel, (from, payload) -> receive(handler, channel, from, payload));
      }

      @Override
      public void setPeers(Map<String, String> addresses) {}
    };
  }

  PlatformLog log(PlatformLog shared) {
    return new PlatformLog() {
      @Override
      public CompletableFuture<AppendOutcome> append(List<ByteString> records) {
        countMessage("log_append", records.stream().mapToLong(ByteString::size).sum());
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
        String kind = "worker_" + command.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        countMessage(kind, WorkerMessageCodec.encodeCommand(command).length);
        return shared.send(worker, command).thenApply(reply -> countReply(kind, reply));
      }

      @Override
      public CompletableFuture<Optional<List<WorkerSpec>>> listWorkers() {
        return shared.listWorkers();
      }
    };
  }

  private CompletableFuture<Optional<ByteString>> receive(
      PeerLink.PeerHandler handler, PeerChannel channel, String from, ByteString payload) {
    String kind = kindOf(channel, payload);
    countMessage(kind, payload.size());
    long begun = THREADS.getCurrentThreadCpuTime();
    CompletableFuture<Optional<ByteString>> reply = handler.handle(from, payload);
    cpuNanos += THREADS.getCurrentThreadCpuTime() - begun;
    reply.thenAccept(answer -> answer.ifPresent(content -> countMessage(kind, content.size())));
    return reply;
  }

  private ReadOutcome countRead(ReadOutcome outcome) {
    if (outcome instanceof ReadOutcome.Batch batch) {
      countMessage("log_read", 0);
      for (ByteString record : batch.records()) {
        addBytes("log_read_" + kindOf(record), record.size());
      }
    }
    return outcome;
  }

  private WorkerReply countReply(String kind, WorkerReply reply) {
    WorkerMessageCodec.encodeReply(reply).ifPresent(content -> countMessage(kind, content.length));
    return reply;
  }

  private void run(Runnable action) {
    long begun = THREADS.getCurrentThreadCpuTime();
    action.run();
    cpuNanos += THREADS.getCurrentThreadCpuTime() - begun;
  }

  private void countMessage(String kind, long content) {
    addBytes(kind, HEADER_BYTES + content);
  }

  private void addBytes(String kind, long content) {
    bytes.merge(kind, content, Long::sum);
  }

  private static String kindOf(PeerChannel channel, ByteString payload) {
    try {
      return channel == PeerChannel.MEMBERSHIP
          ? "peer_" + MembershipMessage.parseFrom(payload).getMessageCase().name()
          : "peer_" + channel.name();
    } catch (InvalidProtocolBufferException e) {
      return "peer_unknown";
    }
  }

  private static String kindOf(ByteString record) {
    return RecordCodec.decode(record)
        .map(envelope -> envelope.record().getClass().getSimpleName())
        .orElse("unknown");
  }
}
