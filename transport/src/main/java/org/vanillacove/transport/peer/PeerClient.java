package org.vanillacove.transport.peer;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import com.linecorp.armeria.client.retry.Backoff;
import com.linecorp.armeria.common.util.TransportType;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vanillacove.protocol.generated.PeerFrame;
import org.vanillacove.protocol.generated.PeerFrameKind;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.timer.TimerService;

/**
 * The dialling end towards one peer: keeps one connection open, replaces it when it is lost or
 * silent, and matches replies to requests. Thread-safe.
 */
final class PeerClient {
  /** Log of connections. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Requests that may wait for replies at a time. */
  private static final int MAX_WAITING_REQUESTS = 16_384;

  /** Settings of the link. */
  private final PeerLinkSettings settings;

  /** Identifier of the peer. */
  private final String peerId;

  /** Address of the peer. */
  private final HostAndPort address;

  /** Source of time. */
  private final TimerService timer;

  /** Counters. */
  private final PeerLinkMetrics metrics;

  /** Delays between connection attempts. */
  private final Backoff backoff;

  /** Opens connections. */
  private final Bootstrap bootstrap;

  /** Requests that wait for a reply, by request identifier. */
  private final Map<Long, Waiting> waiting = new ConcurrentHashMap<>();

  /** Connection that carries frames, null while there is none. */
  private volatile Channel ready;

  /** Connection that is being opened or carries frames, null while there is none. */
  private Channel current;

  /** Last request identifier. */
  private long lastRequestId;

  /** Connection attempts since a connection last proved stable. */
  private int attempts;

  /** Monotonic time at which the current connection became ready, in milliseconds. */
  private long readyMillis;

  /** Monotonic time at which something was last received, in milliseconds. */
  private volatile long receivedMillis;

  /** Whether the client was closed. */
  private boolean closed;

  PeerClient(
      PeerLinkSettings settings,
      String peerId,
      String address,
      TimerService timer,
      PeerLinkMetrics metrics,
      Backoff backoff,
      EventLoopGroup group,
      PeerPipeline.TlsInstaller tls) {
    this.settings = settings;
    this.peerId = peerId;
    this.address = HostAndPort.fromString(address);
    this.timer = timer;
    this.metrics = metrics;
    this.backoff = backoff;
    bootstrap =
        new Bootstrap()
            .group(group)
            .channel(TransportType.socketChannelType(group))
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
            .handler(new PeerPipeline(settings, tls, () -> new PeerClientHandler(this)));
  }

  /** Opens the connection. */
  synchronized void connect() {
    if (closed || current != null) {
      return;
    }
    ChannelFuture future = bootstrap.connect(address.getHost(), address.getPort());
    Channel channel = future.channel();
    current = channel;
    attempts++;
    future.addListener(
        done -> {
          if (!done.isSuccess()) {
            lost(channel, done.cause().getMessage());
          }
        });
    timer.after(settings.connectTimeout(), () -> closeUnready(channel));
  }

  /** Returns the address of the peer. */
  HostAndPort address() {
    return address;
  }

  /** Returns whether a connection carries frames. */
  boolean isReady() {
    return ready != null;
  }

  /** Sends a message or drops it. */
  void send(PeerChannel channel, ByteString payload) {
    write(PeerFrames.message(channel, payload));
  }

  /** Sends a request; empty at once if it cannot be sent, or when the deadline has passed. */
  CompletableFuture<Optional<ByteString>> call(
      PeerChannel channel, ByteString payload, Duration deadline) {
    Channel connection = ready;
    if (connection == null || waiting.size() >= MAX_WAITING_REQUESTS) {
      metrics.countDropped();
      return CompletableFuture.completedFuture(Optional.empty());
    }
    CompletableFuture<Optional<ByteString>> answer = new CompletableFuture<>();
    long id = nextRequestId();
    TimerService.Subscription timeout = timer.after(deadline, () -> complete(id, Optional.empty()));
    waiting.put(id, new Waiting(connection, answer, timeout));
    int millis = (int) Math.min(Integer.MAX_VALUE, deadline.toMillis());
    if (!write(connection, PeerFrames.request(channel, id, payload, millis))
        || connection != ready) {
      complete(id, Optional.empty());
    }
    return answer;
  }

  /** Replaces a silent connection, or sends a probe on a quiet one. */
  void probe() {
    Channel connection = ready;
    long quietMillis = timer.monotonicMillis() - receivedMillis;
    if (connection == null) {
      return;
    }
    if (quietMillis >= settings.silenceTimeout().toMillis()) {
      metrics.countSilence();
      lost(connection, "nothing received for " + quietMillis + " ms");
    } else if (quietMillis >= settings.probeInterval().toMillis()) {
      connection.writeAndFlush(PeerFrames.bare(PeerFrameKind.PEER_FRAME_PROBE, 0));
    }
  }

  /** Closes the connection for good; waiting requests end without a reply. */
  synchronized void close() {
    closed = true;
    if (current != null) {
      lost(current, "closed");
    }
  }

  /** Says hello on a connection that was opened. */
  void opened(Channel channel) {
    channel.writeAndFlush(PeerFrames.hello(settings.hostId(), peerId));
  }

  /** Takes in a frame. */
  void received(Channel channel, PeerFrame frame) {
    receivedMillis = timer.monotonicMillis();
    switch (frame.getKind()) {
      case PEER_FRAME_HELLO -> acceptHello(channel, frame);
      case PEER_FRAME_REJECTION -> lost(channel, "rejected: " + frame.getReason());
      case PEER_FRAME_REPLY -> complete(frame.getRequestId(), Optional.of(frame.getPayload()));
      case PEER_FRAME_NOT_HANDLED -> complete(frame.getRequestId(), Optional.empty());
      case PEER_FRAME_PROBE_ANSWER -> {}
      default -> lost(channel, "unexpected frame " + frame.getKind());
    }
  }

  /** Gives up a connection and opens another after a while. */
  void lost(Channel channel, String reason) {
    synchronized (this) {
      channel.close();
      if (current != channel) {
        return;
      }
      boolean wasStable = ready == channel && isStable();
      current = null;
      ready = null;
      if (wasStable) {
        attempts = 0;
      }
      if (!closed) {
        long delayMillis = attempts == 0 ? 0 : backoff.nextDelayMillis(attempts);
        LOG.atInfo().log("peer: no connection to %s: %s", peerId, reason);
        timer.after(Duration.ofMillis(delayMillis), this::connect);
      }
    }
    endRequests(channel);
  }

  private void acceptHello(Channel channel, PeerFrame frame) {
    Optional<String> fault = PeerFrames.helloFault(frame, settings.hostId());
    String actualId = frame.getHello().getHostId();
    if (fault.isPresent()) {
      lost(channel, fault.get());
    } else if (!actualId.equals(peerId)) {
      lost(channel, "the address belongs to " + actualId);
    } else {
      PeerCertificate.fault(channel, peerId)
          .ifPresentOrElse(reason -> lost(channel, reason), () -> becomeReady(channel));
    }
  }

  private synchronized void becomeReady(Channel channel) {
    if (current == channel && ready == null) {
      readyMillis = timer.monotonicMillis();
      ready = channel;
      metrics.countConnect();
      LOG.atInfo().log("peer: connected to %s", peerId);
    }
  }

  private boolean isStable() {
    return timer.monotonicMillis() - readyMillis >= settings.maximumBackoff().toMillis();
  }

  private void closeUnready(Channel channel) {
    if (ready != channel) {
      lost(channel, "no hello in time");
    }
  }

  private void endRequests(Channel channel) {
    waiting.forEach(
        (id, request) -> {
          if (request.channel == channel) {
            complete(id, Optional.empty());
          }
        });
  }

  private synchronized long nextRequestId() {
    return ++lastRequestId;
  }

  private void complete(long requestId, Optional<ByteString> reply) {
    Waiting request = waiting.remove(requestId);
    if (request != null) {
      request.timeout.cancel();
      Thread.ofVirtual().name("peer-reply").start(() -> request.answer.complete(reply));
    }
  }

  private void write(PeerFrame frame) {
    Channel connection = ready;
    if (connection == null) {
      metrics.countDropped();
    } else {
      write(connection, frame);
    }
  }

  private boolean write(Channel connection, PeerFrame frame) {
    if (!connection.isWritable() || frame.getSerializedSize() > settings.maxFrameBytes()) {
      metrics.countDropped();
      return false;
    }
    metrics.countSent();
    connection.writeAndFlush(frame, connection.voidPromise());
    return true;
  }

  /**
   * A request that waits for its reply.
   *
   * @param channel connection that carries it
   * @param answer where the reply goes
   * @param timeout ends it when its deadline has passed
   */
  private record Waiting(
      Channel channel,
      CompletableFuture<Optional<ByteString>> answer,
      TimerService.Subscription timeout) {}
}
