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

/** Peer links between hosts in memory, delayed by a timer service, with cuts; thread-safe. */
public final class MemoryPeerNetwork {
  /** Source of time. */
  private final TimerService timer;

  /** One-way delay between two hosts in milliseconds. */
  private final DelayFunction delay;

  /** Links by host. */
  private final Map<String, MemoryPeerLink> links = new ConcurrentHashMap<>();

  /** Cut directions as from and to host. */
  private final Set<Direction> cuts = ConcurrentHashMap.newKeySet();

  /** Creates a network without hosts. */
  public MemoryPeerNetwork(TimerService timer, DelayFunction delay) {
    this.timer = timer;
    this.delay = delay;
  }

  /** Gives the one-way delay between two hosts. */
  @FunctionalInterface
  public interface DelayFunction {
    /** Returns the delay in milliseconds. */
    long delayMillis(String from, String to);
  }

  /** Returns a new link of {@code hostId}; an older link of that host receives nothing more. */
  public PeerLink link(String hostId) {
    MemoryPeerLink link = new MemoryPeerLink(hostId);
    links.put(hostId, link);
    return link;
  }

  /** Takes a host off the network, as its death does. */
  public void remove(String hostId) {
    links.remove(hostId);
  }

  /** Cuts or restores the direction from one host to another. */
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
   * One direction of a link.
   *
   * @param from sending host
   * @param to receiving host
   */
  private record Direction(String from, String to) {}

  /** The link of one host. */
  private final class MemoryPeerLink implements PeerLink {
    /** Identifier of the host. */
    private final String hostId;

    /** Handlers by channel. */
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
