package org.vanillacove.transport.peer;

import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import com.linecorp.armeria.client.retry.Backoff;
import com.linecorp.armeria.common.CommonPools;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.transport.security.ReloadingTlsKeys;

/**
 * The link between entry hosts over TCP. A message to a peer without a connection, over the frame
 * limit or beyond the write watermark is dropped; a call then ends at once without a reply.
 * Messages to this host itself go to its handlers directly. Thread-safe.
 */
public final class NettyPeerLink implements PeerLink, AutoCloseable {
  /** Share by which delays between connection attempts vary. */
  private static final double JITTER_RATE = 0.5;

  /** Settings of the link. */
  private final PeerLinkSettings settings;

  /** Source of time. */
  private final TimerService timer;

  /** Counters. */
  private final PeerLinkMetrics metrics;

  /** Adds TLS to dialled connections. */
  private final PeerPipeline.TlsInstaller clientTls;

  /** Delays between connection attempts. */
  private final Backoff backoff;

  /** Threads of the connections. */
  private final EventLoopGroup group = CommonPools.workerGroup();

  /** Runs handlers. */
  private final PeerDispatcher dispatcher = new PeerDispatcher();

  /** Messages of this host to itself. */
  private final PeerDispatcher.Queues ownQueues;

  /** Accepts connections. */
  private final PeerServer server;

  /** Clients by peer. */
  private final Map<String, PeerClient> clients = new ConcurrentHashMap<>();

  /** The timer of probes. */
  private final TimerService.Subscription probes;

  /** Starts a link in plain text. */
  public NettyPeerLink(
      PeerLinkSettings settings,
      TimerService timer,
      MeterRegistry registry,
      Supplier<Random> random) {
    this(settings, timer, registry, random, channel -> {}, channel -> {});
  }

  /** Starts a link with TLS, where both ends must show a certificate. */
  public NettyPeerLink(
      PeerLinkSettings settings,
      TimerService timer,
      MeterRegistry registry,
      Supplier<Random> random,
      ReloadingTlsKeys keys) {
    this(
        settings,
        timer,
        registry,
        random,
        channel -> channel.pipeline().addLast(keys.peerServerContext().newHandler(channel.alloc())),
        channel ->
            channel.pipeline().addLast(keys.peerClientContext().newHandler(channel.alloc())));
  }

  private NettyPeerLink(
      PeerLinkSettings settings,
      TimerService timer,
      MeterRegistry registry,
      Supplier<Random> random,
      PeerPipeline.TlsInstaller serverTls,
      PeerPipeline.TlsInstaller clientTls) {
    this.settings = settings;
    this.timer = timer;
    this.clientTls = clientTls;
    metrics = new PeerLinkMetrics(registry);
    backoff =
        Backoff.exponential(
                settings.minimumBackoff().toMillis(), settings.maximumBackoff().toMillis())
            .withJitter(-JITTER_RATE, JITTER_RATE, random);
    ownQueues = dispatcher.newQueues(settings.hostId());
    server =
        new PeerServer(
            settings,
            timer,
            group,
            serverTls,
            owner -> new PeerServerHandler(settings.hostId(), dispatcher, metrics, owner));
    probes = timer.every(settings.probeInterval().dividedBy(2), this::probe);
  }

  /** Returns the port that the link listens on. */
  public int port() {
    return server.port();
  }

  /** Returns whether a connection to a peer is open. */
  public boolean isConnected(String hostId) {
    PeerClient client = clients.get(hostId);
    return client != null && client.isReady();
  }

  @Override
  public void send(String hostId, PeerChannel channel, ByteString payload) {
    if (hostId.equals(settings.hostId())) {
      if (!ownQueues.offer(channel, payload, (handled, reply) -> {})) {
        metrics.countUnhandled();
      }
      return;
    }
    PeerClient client = clients.get(hostId);
    if (client == null) {
      metrics.countDropped();
    } else {
      client.send(channel, payload);
    }
  }

  @Override
  public CompletableFuture<Optional<ByteString>> call(
      String hostId, PeerChannel channel, ByteString payload, Duration deadline) {
    if (hostId.equals(settings.hostId())) {
      return callSelf(channel, payload, deadline);
    }
    PeerClient client = clients.get(hostId);
    if (client == null) {
      metrics.countDropped();
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return client.call(channel, payload, deadline);
  }

  @Override
  public void register(PeerChannel channel, PeerHandler handler) {
    dispatcher.register(channel, handler);
  }

  @Override
  public synchronized void setPeers(Map<String, String> addresses) {
    clients.forEach(
        (hostId, client) -> {
          String address = addresses.get(hostId);
          if (address == null || !HostAndPort.fromString(address).equals(client.address())) {
            clients.remove(hostId);
            client.close();
          }
        });
    addresses.forEach(
        (hostId, address) -> {
          if (!hostId.equals(settings.hostId()) && !clients.containsKey(hostId)) {
            PeerClient client = newClient(hostId, address);
            clients.put(hostId, client);
            client.connect();
          }
        });
  }

  /** Closes all connections; waiting calls end without a reply. */
  @Override
  public synchronized void close() {
    probes.cancel();
    clients.values().forEach(PeerClient::close);
    clients.clear();
    server.close();
  }

  private PeerClient newClient(String hostId, String address) {
    return new PeerClient(settings, hostId, address, timer, metrics, backoff, group, clientTls);
  }

  private CompletableFuture<Optional<ByteString>> callSelf(
      PeerChannel channel, ByteString payload, Duration deadline) {
    CompletableFuture<Optional<ByteString>> answer = new CompletableFuture<>();
    boolean taken =
        ownQueues.offer(
            channel,
            payload,
            (handled, reply) -> {
              if (!handled || reply.isPresent()) {
                answer.complete(reply);
              }
            });
    if (!taken) {
      metrics.countUnhandled();
      return CompletableFuture.completedFuture(Optional.empty());
    }
    TimerService.Subscription timeout =
        timer.after(deadline, () -> answer.complete(Optional.empty()));
    return answer.whenComplete((reply, error) -> timeout.cancel());
  }

  private void probe() {
    clients.values().forEach(PeerClient::probe);
    server.closeSilent();
  }
}
