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
 * Client of one peer: keeps one outgoing connection, replaces it when it is lost or unresponsive,
 * and matches replies to requests. Thread-safe.
 */
final class PeerClient {
  /** Logger of established and lost connections. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Maximum number of requests that wait for a reply at the same time. */
  private static final int MAX_PENDING_REQUESTS = 16_384;

  /** Limits and timeouts of the link. */
  private final PeerLinkSettings settings;

  /** Host ID of the peer. */
  private final String peerId;

  /** Address to connect to. */
  private final HostAndPort address;

  /** Clock, and timer of reconnects and deadlines. */
  private final TimerService timer;

  /** Counters of the link. */
  private final PeerLinkMetrics metrics;

  /** Delays between connection attempts. */
  private final Backoff backoff;

  /** Configuration of new connections. */
  private final Bootstrap bootstrap;

  /** Requests that wait for a reply, by request ID. */
  private final Map<Long, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

  /** Connection on which the peer has accepted the hello, or null. */
  private volatile Channel readyChannel;

  /** Connection that is being opened or is ready, or null. */
  private Channel currentChannel;

  /** ID of the last request; IDs increase by one. */
  private long lastRequestId;

  /** Connection attempts since the last stable connection; determines the backoff. */
  private int attempts;

  /** Monotonic time at which the current connection became ready, in milliseconds. */
  private long readyMillis;

  /** Monotonic time of the last received frame, in milliseconds. */
  private volatile long lastReceivedMillis;

  /** Whether the client was closed; it then opens no further connection. */
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

  /** Starts to open a connection unless there is one already. */
  synchronized void connect() {
    if (closed || currentChannel != null) {
      return;
    }
    ChannelFuture future = bootstrap.connect(address.getHost(), address.getPort());
    Channel channel = future.channel();
    currentChannel = channel;
    attempts++;
    future.addListener(
        done -> {
          if (!done.isSuccess()) {
            dropConnection(channel, done.cause().getMessage());
          }
        });
    timer.after(settings.connectTimeout(), () -> closeIfNotReady(channel));
  }

  /** Returns the address of the peer. */
  HostAndPort address() {
    return address;
  }

  /** Returns whether there is a connection that is ready for messages. */
  boolean isReady() {
    return readyChannel != null;
  }

  /** Sends a message, or drops it if it cannot be sent immediately. */
  void send(PeerChannel channel, ByteString payload) {
    write(PeerFrames.message(channel, payload));
  }

  /** Sends a request; the result is empty if it can't be sent or isn't answered in time. */
  CompletableFuture<Optional<ByteString>> call(
      PeerChannel channel, ByteString payload, Duration deadline) {
    Channel connection = readyChannel;
    if (connection == null || pendingRequests.size() >= MAX_PENDING_REQUESTS) {
      metrics.countDropped();
      return CompletableFuture.completedFuture(Optional.empty());
    }
    CompletableFuture<Optional<ByteString>> result = new CompletableFuture<>();
    long id = nextRequestId();
    TimerService.Subscription timeout = timer.after(deadline, () -> complete(id, Optional.empty()));
    pendingRequests.put(id, new PendingRequest(connection, result, timeout));
    int millis = (int) Math.min(Integer.MAX_VALUE, deadline.toMillis());
    if (!write(connection, PeerFrames.request(channel, id, payload, millis))
        || connection != readyChannel) {
      complete(id, Optional.empty());
    }
    return result;
  }

  /** Replaces the connection if it is unresponsive; sends a probe if it is idle. */
  void probe() {
    Channel connection = readyChannel;
    long idleMillis = timer.monotonicMillis() - lastReceivedMillis;
    if (connection == null) {
      return;
    }
    if (idleMillis >= settings.receiveTimeout().toMillis()) {
      metrics.countUnresponsive();
      dropConnection(connection, "no response for " + idleMillis + " ms");
    } else if (idleMillis >= settings.probeInterval().toMillis()) {
      connection.writeAndFlush(PeerFrames.control(PeerFrameKind.PEER_FRAME_PROBE, 0));
    }
  }

  /** Closes the client permanently; pending requests end without a reply. */
  synchronized void close() {
    closed = true;
    if (currentChannel != null) {
      dropConnection(currentChannel, "closed");
    }
  }

  /** Sends the hello on a newly opened connection. */
  void sendHello(Channel channel) {
    channel.writeAndFlush(PeerFrames.hello(settings.hostId(), peerId));
  }

  /** Handles a received frame. */
  void handleFrame(Channel channel, PeerFrame frame) {
    lastReceivedMillis = timer.monotonicMillis();
    switch (frame.getKind()) {
      case PEER_FRAME_HELLO -> acceptHello(channel, frame);
      case PEER_FRAME_REJECTION -> dropConnection(channel, "rejected: " + frame.getReason());
      case PEER_FRAME_REPLY -> complete(frame.getRequestId(), Optional.of(frame.getPayload()));
      case PEER_FRAME_NOT_HANDLED -> complete(frame.getRequestId(), Optional.empty());
      case PEER_FRAME_PROBE_ANSWER -> {}
      default -> dropConnection(channel, "unexpected frame " + frame.getKind());
    }
  }

  /** Closes a connection and, if it is the current one, schedules the next attempt. */
  void dropConnection(Channel channel, String reason) {
    synchronized (this) {
      channel.close();
      if (currentChannel != channel) {
        return;
      }
      boolean wasStable = readyChannel == channel && isStable();
      currentChannel = null;
      readyChannel = null;
      if (wasStable) {
        attempts = 0;
      }
      if (!closed) {
        long delayMillis = attempts == 0 ? 0 : backoff.nextDelayMillis(attempts);
        LOG.atInfo().log("peer: no connection to %s: %s", peerId, reason);
        timer.after(Duration.ofMillis(delayMillis), this::connect);
      }
    }
    endPendingRequests(channel);
  }

  private void acceptHello(Channel channel, PeerFrame frame) {
    Optional<String> rejectionReason = PeerFrames.helloRejectionReason(frame, settings.hostId());
    String actualId = frame.getHello().getHostId();
    if (rejectionReason.isPresent()) {
      dropConnection(channel, rejectionReason.get());
    } else if (!actualId.equals(peerId)) {
      dropConnection(channel, "the address belongs to " + actualId);
    } else {
      PeerCertificate.rejectionReason(channel, peerId)
          .ifPresentOrElse(reason -> dropConnection(channel, reason), () -> markReady(channel));
    }
  }

  private synchronized void markReady(Channel channel) {
    if (currentChannel == channel && readyChannel == null) {
      readyMillis = timer.monotonicMillis();
      readyChannel = channel;
      metrics.countConnect();
      LOG.atInfo().log("peer: connected to %s", peerId);
    }
  }

  private boolean isStable() {
    return timer.monotonicMillis() - readyMillis >= settings.maximumBackoff().toMillis();
  }

  private void closeIfNotReady(Channel channel) {
    if (readyChannel != channel) {
      dropConnection(channel, "no hello within the connect timeout");
    }
  }

  private void endPendingRequests(Channel channel) {
    pendingRequests.forEach(
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
    PendingRequest request = pendingRequests.remove(requestId);
    if (request != null) {
      request.timeout.cancel();
      Thread.ofVirtual().name("peer-reply").start(() -> request.result.complete(reply));
    }
  }

  private void write(PeerFrame frame) {
    Channel connection = readyChannel;
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
   * A request that waits for a reply.
   *
   * @param channel connection on which it was sent
   * @param result completed with the reply, or empty if there is none
   * @param timeout timer that ends the request at its deadline
   */
  private record PendingRequest(
      Channel channel,
      CompletableFuture<Optional<ByteString>> result,
      TimerService.Subscription timeout) {}
}
