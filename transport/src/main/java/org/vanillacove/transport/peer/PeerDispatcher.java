package org.vanillacove.transport.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink.PeerHandler;

/**
 * Runs the handlers of received messages. Messages of one connection and channel run in order on a
 * virtual thread; a channel whose handler is slow delays no other. Its queue is bounded; what does
 * not fit is not handled, and a request is told so. Thread-safe.
 */
final class PeerDispatcher {
  /** Log of handler faults. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Most messages that wait for the handler of a channel, for each connection. */
  private static final int MAX_WAITING_MESSAGES = 4_096;

  /** Most bytes that wait for the handler of a channel, for each connection. */
  private static final long MAX_WAITING_BYTES = 8L << 20;

  /** Handlers by channel. */
  private final Map<PeerChannel, PeerHandler> handlers = new ConcurrentHashMap<>();

  /** Registers the handler of a channel. */
  void register(PeerChannel channel, PeerHandler handler) {
    if (handlers.putIfAbsent(channel, handler) != null) {
      throw new IllegalStateException("a handler of " + channel + " is registered already");
    }
  }

  /** Returns the queues of a new connection from {@code fromHostId}. */
  Queues newQueues(String fromHostId) {
    return new Queues(fromHostId);
  }

  private CompletableFuture<Optional<ByteString>> handle(
      PeerChannel channel, String fromHostId, ByteString payload) {
    PeerHandler handler = handlers.get(channel);
    if (handler == null) {
      return CompletableFuture.failedFuture(new IllegalStateException("no handler"));
    }
    try {
      return handler.handle(fromHostId, payload);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** Takes the result of a handler. */
  @FunctionalInterface
  interface ResultReceiver {
    /** Takes the reply, empty if there is none; {@code handled} is false if the handler failed. */
    void receive(boolean handled, Optional<ByteString> reply);
  }

  /** The waiting messages of one connection. */
  final class Queues {
    /** Host that the messages come from. */
    private final String fromHostId;

    /** Queues by channel. */
    private final Map<PeerChannel, Queue> queues = new EnumMap<>(PeerChannel.class);

    Queues(String fromHostId) {
      this.fromHostId = fromHostId;
      for (PeerChannel channel : PeerChannel.values()) {
        queues.put(channel, new Queue(channel));
      }
    }

    /** Returns the host that the messages come from. */
    String fromHostId() {
      return fromHostId;
    }

    /** Enqueues a message and returns whether it was taken. */
    boolean offer(PeerChannel channel, ByteString payload, ResultReceiver receiver) {
      return handlers.containsKey(channel)
          && queues.get(channel).offer(new Waiting(payload, receiver));
    }

    /** The waiting messages of one channel. */
    private final class Queue {
      /** The channel. */
      private final PeerChannel channel;

      /** Waiting messages in order. */
      private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

      /** Sum of the bytes of waiting messages. */
      private long waitingBytes;

      /** Whether a thread works on the queue. */
      private boolean draining;

      Queue(PeerChannel channel) {
        this.channel = channel;
      }

      private synchronized boolean offer(Waiting message) {
        int size = message.payload.size();
        if (waiting.size() >= MAX_WAITING_MESSAGES || waitingBytes + size > MAX_WAITING_BYTES) {
          return false;
        }
        waiting.add(message);
        waitingBytes += size;
        if (!draining) {
          draining = true;
          Thread.ofVirtual().name("peer-" + channel).start(this::drain);
        }
        return true;
      }

      private void drain() {
        Optional<Waiting> next = take();
        while (next.isPresent()) {
          Waiting message = next.get();
          handle(channel, fromHostId, message.payload)
              .whenComplete((reply, error) -> deliver(message, reply, error));
          next = take();
        }
      }

      private synchronized Optional<Waiting> take() {
        Waiting message = waiting.poll();
        if (message == null) {
          draining = false;
          return Optional.empty();
        }
        waitingBytes -= message.payload.size();
        return Optional.of(message);
      }

      private void deliver(Waiting message, Optional<ByteString> reply, Throwable error) {
        if (error != null) {
          LOG.atWarning().withCause(error).log(
              "peer: handler of %s failed on a message from %s", channel, fromHostId);
        }
        message.receiver.receive(error == null, error == null ? reply : Optional.empty());
      }
    }
  }

  /**
   * A message that waits for its handler.
   *
   * @param payload the message
   * @param receiver takes the result
   */
  private record Waiting(ByteString payload, ResultReceiver receiver) {}
}
