package org.vanillacove.bench.peer;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import com.google.protobuf.ByteString;
import com.sun.management.OperatingSystemMXBean;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.vanillacove.bench.Bench;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.transport.peer.NettyPeerLink;
import org.vanillacove.transport.peer.PeerLinkSettings;
import org.vanillacove.transport.security.LocalKeyGenerator;
import org.vanillacove.transport.security.ReloadingTlsKeys;

/**
 * Measures messages per second, bytes per message and processor time per 1,000 messages between two
 * links of one process, in plain text and with TLS. Processor time is the sum of both ends.
 */
public final class PeerBench implements Bench {
  /** Size of a payload in bytes. */
  private static final int PAYLOAD_BYTES = 32;

  /** Number of messages sent at full speed. */
  private static final int FULL_SPEED_MESSAGES = 300_000;

  /** Maximum number of messages in flight at full speed. */
  private static final int MAX_IN_FLIGHT_MESSAGES = 2_000;

  /** Number of calls, made sequentially. */
  private static final int CALLS = 20_000;

  /** Number of messages sent per second in the paced run. */
  private static final int PACED_MESSAGES_PER_SECOND = 500;

  /** Duration of the paced run in seconds. */
  private static final int PACED_SECONDS = 5;

  /** Maximum time for a connection, a call or the arrival of messages. */
  private static final Duration DEADLINE = Duration.ofSeconds(30);

  /** Number of nanoseconds in a millisecond. */
  private static final double NANOS_PER_MILLI = 1e6;

  /** Provides the processor time of the process. */
  private final OperatingSystemMXBean processor =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

  /** Figures by name, in the order in which they are printed. */
  private final Map<String, Object> figures = new LinkedHashMap<>();

  @Override
  public Map<String, Object> run(long seed) throws Exception {
    Path directory = Files.createTempDirectory("peer-bench");
    try (ScheduledTimerService timer = new ScheduledTimerService()) {
      figures.put("payload_bytes", PAYLOAD_BYTES);
      measure("", seed, timer, Optional.empty());
      LocalKeyGenerator maker = new LocalKeyGenerator(directory);
      try (ReloadingTlsKeys keys =
          new ReloadingTlsKeys(maker.generateKey("host"), timer, Duration.ofMinutes(1))) {
        measure("tls_", seed, timer, Optional.of(keys));
      }
    } finally {
      MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
    }
    return figures;
  }

  private void measure(
      String prefix, long seed, ScheduledTimerService timer, Optional<ReloadingTlsKeys> keys)
      throws Exception {
    Semaphore arrivals = new Semaphore(0);
    try (NettyPeerLink sender = open("sender", seed, timer, keys);
        NettyPeerLink receiver = open("receiver", seed, timer, keys);
        ByteCountingRelay relay = new ByteCountingRelay(receiver.port())) {
      receiver.register(
          PeerChannel.SESSION,
          (from, payload) -> {
            arrivals.release();
            return CompletableFuture.completedFuture(Optional.empty());
          });
      receiver.register(
          PeerChannel.SLOT,
          (from, payload) -> CompletableFuture.completedFuture(Optional.of(payload)));
      connect(sender, receiver.port());
      ByteString payload = ByteString.copyFrom(new byte[PAYLOAD_BYTES]);
      System.err.println("peer: " + prefix + "full speed, warm-up");
      sendAll(sender, payload, arrivals, FULL_SPEED_MESSAGES);
      System.err.println("peer: " + prefix + "full speed");
      measureFullSpeed(prefix, sender, payload, arrivals);
      measureCalls(prefix, sender, payload);
      System.err.println("peer: " + prefix + "paced");
      measurePaced(prefix, sender, payload, arrivals, timer);
      connect(sender, relay.port());
      long before = relay.bytes();
      sendPaced(sender, payload, arrivals, timer);
      figures.put(
          prefix + "wire_bytes_per_message",
          rounded((relay.bytes() - before) / (double) (PACED_MESSAGES_PER_SECOND * PACED_SECONDS)));
    }
  }

  private void measureFullSpeed(
      String prefix, NettyPeerLink sender, ByteString payload, Semaphore arrivals)
      throws InterruptedException {
    long processorStart = processor.getProcessCpuTime();
    long start = System.nanoTime();
    sendAll(sender, payload, arrivals, FULL_SPEED_MESSAGES);
    double seconds = (System.nanoTime() - start) / (NANOS_PER_MILLI * 1_000);
    double millis = (processor.getProcessCpuTime() - processorStart) / NANOS_PER_MILLI;
    figures.put(prefix + "messages_per_s", Math.round(FULL_SPEED_MESSAGES / seconds));
    figures.put(prefix + "cpu_ms_per_1000_messages", rounded(millis * 1_000 / FULL_SPEED_MESSAGES));
  }

  private void measureCalls(String prefix, NettyPeerLink sender, ByteString payload) {
    long start = System.nanoTime();
    long answered = 0;
    for (int i = 0; i < CALLS; i++) {
      answered +=
          sender.call("receiver", PeerChannel.SLOT, payload, DEADLINE).join().isPresent() ? 1 : 0;
    }
    double micros = (System.nanoTime() - start) / NANOS_PER_MILLI * 1_000;
    figures.put(prefix + "call_mean_us", rounded(micros / CALLS));
    figures.put(prefix + "calls_without_reply", CALLS - answered);
  }

  private void measurePaced(
      String prefix,
      NettyPeerLink sender,
      ByteString payload,
      Semaphore arrivals,
      ScheduledTimerService timer)
      throws InterruptedException {
    long start = processor.getProcessCpuTime();
    sendPaced(sender, payload, arrivals, timer);
    double millis = (processor.getProcessCpuTime() - start) / NANOS_PER_MILLI;
    int messages = PACED_MESSAGES_PER_SECOND * PACED_SECONDS;
    figures.put(prefix + "paced_messages_per_s", PACED_MESSAGES_PER_SECOND);
    figures.put(prefix + "paced_cpu_ms_per_1000_messages", rounded(millis * 1_000 / messages));
  }

  /** Sends in batches of ten, like control traffic, and waits until all messages arrived. */
  private static void sendPaced(
      NettyPeerLink sender, ByteString payload, Semaphore arrivals, ScheduledTimerService timer)
      throws InterruptedException {
    int batch = 10;
    Semaphore ticks = new Semaphore(0);
    var ticking =
        timer.every(Duration.ofMillis(1_000L * batch / PACED_MESSAGES_PER_SECOND), ticks::release);
    for (int i = 0; i < PACED_MESSAGES_PER_SECOND * PACED_SECONDS / batch; i++) {
      ticks.acquire();
      for (int j = 0; j < batch; j++) {
        sender.send("receiver", PeerChannel.SESSION, payload);
      }
    }
    ticking.cancel();
    acquire(arrivals, PACED_MESSAGES_PER_SECOND * PACED_SECONDS);
  }

  private static void sendAll(
      NettyPeerLink sender, ByteString payload, Semaphore arrivals, int count)
      throws InterruptedException {
    for (int sent = 0; sent < count; sent++) {
      if (sent >= MAX_IN_FLIGHT_MESSAGES) {
        acquire(arrivals, 1);
      }
      sender.send("receiver", PeerChannel.SESSION, payload);
    }
    acquire(arrivals, Math.min(MAX_IN_FLIGHT_MESSAGES, count));
  }

  private static void acquire(Semaphore arrivals, int count) throws InterruptedException {
    if (!arrivals.tryAcquire(count, DEADLINE.toSeconds(), TimeUnit.SECONDS)) {
      throw new IllegalStateException("messages did not arrive within the deadline");
    }
  }

  private static void connect(NettyPeerLink sender, int port) throws InterruptedException {
    sender.setPeers(Map.of("receiver", "127.0.0.1:" + port));
    long end = System.nanoTime() + DEADLINE.toNanos();
    while (!sender.isConnected("receiver")) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("the link did not connect within the deadline");
      }
      Thread.sleep(1);
    }
  }

  private static NettyPeerLink open(
      String hostId, long seed, ScheduledTimerService timer, Optional<ReloadingTlsKeys> keys) {
    PeerLinkSettings settings = PeerLinkSettings.of(hostId, "127.0.0.1:0");
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    Random random = new Random(seed);
    return keys.map(used -> new NettyPeerLink(settings, timer, registry, () -> random, used))
        .orElseGet(() -> new NettyPeerLink(settings, timer, registry, () -> random));
  }

  private static double rounded(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
