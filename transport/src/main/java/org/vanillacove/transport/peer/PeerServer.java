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
 * Accepts connections from peers. A newer connection of a host replaces its older one, and
 * connections on which nothing is received are closed. Thread-safe.
 */
final class PeerServer {
  /** Most connections open at a time; more are closed at once. */
  private static final int MAX_CONNECTIONS = 256;

  /** Silence timeouts after which an accepted connection is closed. */
  private static final int SILENCE_FACTOR = 2;

  /** Settings of the link. */
  private final PeerLinkSettings settings;

  /** Source of time. */
  private final TimerService timer;

  /** Last time something was received, in monotonic milliseconds, by connection. */
  private final Map<Channel, AtomicLong> lastReceived = new ConcurrentHashMap<>();

  /** Newest connection by host. */
  private final Map<String, Channel> byHost = new ConcurrentHashMap<>();

  /** The listening channel. */
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
    /** Returns a new handler. */
    PeerServerHandler newHandler(PeerServer server);
  }

  /** Returns the port that the server listens on. */
  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns whether a frame is within the limit. */
  boolean fits(PeerFrame frame) {
    return frame.getSerializedSize() <= settings.maxFrameBytes();
  }

  /** Takes in a new connection. */
  void add(Channel channel) {
    if (lastReceived.size() >= MAX_CONNECTIONS) {
      channel.close();
    } else {
      lastReceived.put(channel, new AtomicLong(timer.monotonicMillis()));
    }
  }

  /** Notes that something was received. */
  void touch(Channel channel) {
    AtomicLong last = lastReceived.get(channel);
    if (last != null) {
      last.set(timer.monotonicMillis());
    }
  }

  /** Notes which host a connection belongs to and closes its older one. */
  void accept(Channel channel, String hostId) {
    Channel older = byHost.put(hostId, channel);
    if (older != null && older != channel) {
      older.close();
    }
  }

  /** Forgets a closed connection. */
  void remove(Channel channel) {
    lastReceived.remove(channel);
    byHost.values().remove(channel);
  }

  /** Closes connections on which nothing was received for too long. */
  void closeSilent() {
    long limit = settings.silenceTimeout().toMillis() * SILENCE_FACTOR;
    long now = timer.monotonicMillis();
    lastReceived.forEach(
        (channel, last) -> {
          if (now - last.get() > limit) {
            channel.close();
          }
        });
  }

  /** Stops accepting and closes all connections. */
  void close() {
    listener.close().syncUninterruptibly();
    lastReceived.keySet().forEach(Channel::close);
  }
}
