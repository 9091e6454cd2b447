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
 * Exchanges messages and calls between entry hosts over TCP. A message is dropped if the peer is
 * not connected, the frame exceeds the size limit or the connection's write buffer is full; a call
 * then ends immediately without a reply. Messages to this host go directly to its handlers.
 * Thread-safe.
 */
public final class NettyPeerLink implements PeerLink, AutoCloseable {
  /** Maximum random deviation of reconnect delays, as a fraction of the delay. */
  private static final double JITTER_RATE = 0.5;

  /** Addresses, limits and timeouts of the link. */
  private final PeerLinkSettings settings;

  /** Runs probes and call timeouts. */
  private final TimerService timer;

  /** Counters of frames, messages and connections. */
  private final PeerLinkMetrics metrics;

  /** Adds TLS to outgoing connections. */
  private final PeerPipeline.TlsInstaller clientTls;

  /** Delays between connection attempts to a peer. */
  private final Backoff backoff;

  /** Event loops of all connections, shared with the HTTP servers and clients. */
  private final EventLoopGroup group = CommonPools.workerGroup();

  /** Passes received messages to the registered handlers. */
  private final PeerDispatcher dispatcher = new PeerDispatcher();

  /** Queues of messages that this host sends to itself. */
  private final PeerDispatcher.ConnectionQueues loopbackQueues;

  /** Accepts connections from peers. */
  private final PeerServer server;

  /** Clients of the current peers, by host ID. */
  private final Map<String, PeerClient> clients = new ConcurrentHashMap<>();

  /** Periodic task that probes connections and closes unresponsive ones. */
  private final TimerService.Subscription probes;

  /** Starts a link without TLS. */
  public NettyPeerLink(
      PeerLinkSettings settings,
      TimerService timer,
      MeterRegistry registry,
      Supplier<Random> random) {
    this(settings, timer, registry, random, channel -> {}, channel -> {});
  }

  /** Starts a link with mutual TLS. */
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
    loopbackQueues = dispatcher.newQueues(settings.hostId());
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

  /** Returns whether the connection to a peer is ready for messages. */
  public boolean isConnected(String hostId) {
    PeerClient client = clients.get(hostId);
    return client != null && client.isReady();
  }

  @Override
  public void send(String hostId, PeerChannel channel, ByteString payload) {
    if (hostId.equals(settings.hostId())) {
      if (!loopbackQueues.offer(channel, payload, (handled, reply) -> {})) {
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

  /** Closes all connections; pending calls end without a reply. */
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
    CompletableFuture<Optional<ByteString>> result = new CompletableFuture<>();
    boolean accepted =
        loopbackQueues.offer(
            channel,
            payload,
            (handled, reply) -> {
              if (!handled || reply.isPresent()) {
                result.complete(reply);
              }
            });
    if (!accepted) {
      metrics.countUnhandled();
      return CompletableFuture.completedFuture(Optional.empty());
    }
    TimerService.Subscription timeout =
        timer.after(deadline, () -> result.complete(Optional.empty()));
    return result.whenComplete((reply, error) -> timeout.cancel());
  }

  private void probe() {
    clients.values().forEach(PeerClient::probe);
    server.closeUnresponsive();
  }
}
