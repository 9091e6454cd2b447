package org.vanillacove.standin.memory;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.timer.TimerService;

/** In-memory peer links with configurable latency and network partitions; thread-safe. */
public final class MemoryPeerNetwork {
  /** Schedules the delivery of messages and the timeouts of calls. */
  private final TimerService timer;

  /** Latency of each direction between two hosts. */
  private final DelayFunction delay;

  /** Current links by host identifier. */
  private final Map<String, MemoryPeerLink> links = new ConcurrentHashMap<>();

  /** Directions in which messages are dropped. */
  private final Set<Direction> cuts = ConcurrentHashMap.newKeySet();

  /** Creates a network without hosts. */
  public MemoryPeerNetwork(TimerService timer, DelayFunction delay) {
    this.timer = timer;
    this.delay = delay;
  }

  /** Provides the one-way latency between two hosts. */
  @FunctionalInterface
  public interface DelayFunction {
    /** Returns the latency in milliseconds. */
    long delayMillis(String from, String to);
  }

  /** Returns a new link of {@code hostId}; it replaces the host's earlier link as receiver. */
  public PeerLink link(String hostId) {
    MemoryPeerLink link = new MemoryPeerLink(hostId);
    links.put(hostId, link);
    return link;
  }

  /** Removes a host from the network, as a crash does. */
  public void remove(String hostId) {
    links.remove(hostId);
  }

  /** Sets whether messages from one host to another are dropped. */
  public void setCut(String from, String to, boolean cut) {
    Direction direction = new Direction(from, to);
    if (cut) {
      cuts.add(direction);
    } else {
      cuts.remove(direction);
    }
  }

  private void deliver(String from, String to, Runnable arrival) {
    if (!cuts.contains(new Direction(from, to))) {
      timer.after(Duration.ofMillis(delay.delayMillis(from, to)), arrival);
    }
  }

  /**
   * One direction between two hosts.
   *
   * @param from sending host
   * @param to receiving host
   */
  private record Direction(String from, String to) {}

  /** Sends a host's messages and passes received messages to its handlers. */
  private final class MemoryPeerLink implements PeerLink {
    /** Identifier of the host that owns the link. */
    private final String hostId;

    /** Registered handlers of received messages by channel. */
    private final Map<PeerChannel, PeerHandler> handlers = new ConcurrentHashMap<>();

    MemoryPeerLink(String hostId) {
      this.hostId = hostId;
    }

    @Override
    public void send(String to, PeerChannel channel, ByteString payload) {
      deliver(hostId, to, () -> handle(to, channel, payload));
    }

    @Override
    public CompletableFuture<Optional<ByteString>> call(
        String to, PeerChannel channel, ByteString payload, Duration deadline) {
      CompletableFuture<Optional<ByteString>> answer = new CompletableFuture<>();
      deliver(
          hostId,
          to,
          () ->
              handle(to, channel, payload)
                  .thenAccept(
                      reply ->
                          reply.ifPresent(
                              bytes ->
                                  deliver(to, hostId, () -> answer.complete(Optional.of(bytes))))));
      TimerService.Subscription timeout =
          timer.after(deadline, () -> answer.complete(Optional.empty()));
      return answer.whenComplete((reply, error) -> timeout.cancel());
    }

    @Override
    public void register(PeerChannel channel, PeerHandler handler) {
      handlers.put(channel, handler);
    }

    @Override
    public void setPeers(Map<String, String> addresses) {}

    private CompletableFuture<Optional<ByteString>> handle(
        String to, PeerChannel channel, ByteString payload) {
      MemoryPeerLink link = links.get(to);
      PeerHandler handler = link == null ? null : link.handlers.get(channel);
      return handler == null
          ? CompletableFuture.completedFuture(Optional.empty())
          : handler.handle(hostId, payload);
    }
  }
}
