package org.vanillacove.transport.peer;

import com.google.common.net.HostAndPort;
import com.linecorp.armeria.common.util.TransportType;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.vanillacove.protocol.generated.PeerFrame;
import org.vanillacove.protocol.timer.TimerService;

/**
 * Accepts connections from peers. A new connection of a host replaces its previous one, and
 * unresponsive connections are closed. Thread-safe.
 */
final class PeerServer {
  /** Maximum number of open connections; further ones are closed immediately. */
  private static final int MAX_CONNECTIONS = 256;

  /** Multiple of the receive timeout after which an accepted connection is closed. */
  private static final int RECEIVE_TIMEOUT_FACTOR = 2;

  /** Listen address, limits and timeouts. */
  private final PeerLinkSettings settings;

  /** Clock for receive timeouts. */
  private final TimerService timer;

  /** Monotonic time of the last received frame by connection, in milliseconds. */
  private final Map<Channel, AtomicLong> lastReceivedMillis = new ConcurrentHashMap<>();

  /** Latest connection of each host that has sent its hello, by host ID. */
  private final Map<String, Channel> connectionsByHost = new ConcurrentHashMap<>();

  /** Channel that accepts connections. */
  private final Channel listener;

  PeerServer(
      PeerLinkSettings settings,
      TimerService timer,
      EventLoopGroup group,
      PeerPipeline.TlsInstaller tls,
      HandlerFactory handlers) {
    this.settings = settings;
    this.timer = timer;
    HostAndPort address = HostAndPort.fromString(settings.listenAddress());
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(TransportType.serverChannelType(group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new PeerPipeline(settings, tls, () -> handlers.newHandler(this)))
            .bind(address.getHost(), address.getPort())
            .syncUninterruptibly()
            .channel();
  }

  /** Creates the handler of an accepted connection. */
  @FunctionalInterface
  interface HandlerFactory {
    /** Returns a handler that reports to {@code server}. */
    PeerServerHandler newHandler(PeerServer server);
  }

  /** Returns the port that the server listens on. */
  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns whether a frame is within the size limit. */
  boolean isWithinLimit(PeerFrame frame) {
    return frame.getSerializedSize() <= settings.maxFrameBytes();
  }

  /** Registers a new connection, or closes it if there are too many. */
  void add(Channel channel) {
    if (lastReceivedMillis.size() >= MAX_CONNECTIONS) {
      channel.close();
    } else {
      lastReceivedMillis.put(channel, new AtomicLong(timer.monotonicMillis()));
    }
  }

  /** Records that a frame was received on a connection. */
  void recordReceived(Channel channel) {
    AtomicLong last = lastReceivedMillis.get(channel);
    if (last != null) {
      last.set(timer.monotonicMillis());
    }
  }

  /** Assigns a connection to the host that opened it and closes the host's previous one. */
  void assignToHost(Channel channel, String hostId) {
    Channel previous = connectionsByHost.put(hostId, channel);
    if (previous != null && previous != channel) {
      previous.close();
    }
  }

  /** Removes a closed connection. */
  void remove(Channel channel) {
    lastReceivedMillis.remove(channel);
    connectionsByHost.values().remove(channel);
  }

  /** Closes connections on which no frame was received for too long. */
  void closeUnresponsive() {
    long limit = settings.receiveTimeout().toMillis() * RECEIVE_TIMEOUT_FACTOR;
    long now = timer.monotonicMillis();
    lastReceivedMillis.forEach(
        (channel, last) -> {
          if (now - last.get() > limit) {
            channel.close();
          }
        });
  }

  /** Stops accepting and closes all connections. */
  void close() {
    listener.close().syncUninterruptibly();
    lastReceivedMillis.keySet().forEach(Channel::close);
  }
}
