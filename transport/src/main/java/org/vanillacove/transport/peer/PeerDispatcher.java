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
 * Passes received messages to the handlers of their channels. Messages of the same connection and
 * channel are handled in order on a virtual thread, so a slow handler does not delay other
 * channels. Queues are bounded: a message that does not fit is not handled, and the sender of a
 * request is notified. Thread-safe.
 */
final class PeerDispatcher {
  /** Logger of failed handlers. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Maximum number of queued messages for each connection and channel. */
  private static final int MAX_QUEUED_MESSAGES = 4_096;

  /** Maximum size of the queued messages for each connection and channel, in bytes. */
  private static final long MAX_QUEUED_BYTES = 8L << 20;

  /** Registered handlers by channel. */
  private final Map<PeerChannel, PeerHandler> handlers = new ConcurrentHashMap<>();

  /** Registers the handler of a channel, which must not have one yet. */
  void register(PeerChannel channel, PeerHandler handler) {
    if (handlers.putIfAbsent(channel, handler) != null) {
      throw new IllegalStateException("a handler of " + channel + " is registered already");
    }
  }

  /** Creates the queues of a new connection from {@code fromHostId}. */
  ConnectionQueues newQueues(String fromHostId) {
    return new ConnectionQueues(fromHostId);
  }

  private CompletableFuture<Optional<ByteString>> handle(
      PeerChannel channel, String fromHostId, ByteString payload) {
    PeerHandler handler = handlers.get(channel);
    if (handler == null) {
      return CompletableFuture.failedFuture(new IllegalStateException("no handler is registered"));
    }
    try {
      return handler.handle(fromHostId, payload);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** Receives the result of a handler. */
  @FunctionalInterface
  interface ResultReceiver {
    /** Receives the reply, if there is one; {@code handled} is false if the handler failed. */
    void receive(boolean handled, Optional<ByteString> reply);
  }

  /** Queued messages of one connection. */
  final class ConnectionQueues {
    /** ID of the host that sent the messages. */
    private final String fromHostId;

    /** Queues by channel. */
    private final Map<PeerChannel, ChannelQueue> queues = new EnumMap<>(PeerChannel.class);

    ConnectionQueues(String fromHostId) {
      this.fromHostId = fromHostId;
      for (PeerChannel channel : PeerChannel.values()) {
        queues.put(channel, new ChannelQueue(channel));
      }
    }

    /** Returns the ID of the host that sent the messages. */
    String fromHostId() {
      return fromHostId;
    }

    /** Queues a message; returns false if the channel has no handler or its queue is full. */
    boolean offer(PeerChannel channel, ByteString payload, ResultReceiver receiver) {
      return handlers.containsKey(channel)
          && queues.get(channel).offer(new QueuedMessage(payload, receiver));
    }

    /** Queued messages of one channel. */
    private final class ChannelQueue {
      /** Channel whose handler receives the messages. */
      private final PeerChannel channel;

      /** Queued messages in the order in which they were received. */
      private final ArrayDeque<QueuedMessage> queuedMessages = new ArrayDeque<>();

      /** Total payload size of the queued messages, in bytes. */
      private long queuedBytes;

      /** Whether a thread is handling the queued messages. */
      private boolean draining;

      ChannelQueue(PeerChannel channel) {
        this.channel = channel;
      }

      private synchronized boolean offer(QueuedMessage message) {
        int size = message.payload.size();
        if (queuedMessages.size() >= MAX_QUEUED_MESSAGES || queuedBytes + size > MAX_QUEUED_BYTES) {
          return false;
        }
        queuedMessages.add(message);
        queuedBytes += size;
        if (!draining) {
          draining = true;
          Thread.ofVirtual().name("peer-" + channel).start(this::drain);
        }
        return true;
      }

      private void drain() {
        Optional<QueuedMessage> next = take();
        while (next.isPresent()) {
          QueuedMessage message = next.get();
          handle(channel, fromHostId, message.payload)
              .whenComplete((reply, error) -> deliver(message, reply, error));
          next = take();
        }
      }

      private synchronized Optional<QueuedMessage> take() {
        QueuedMessage message = queuedMessages.poll();
        if (message == null) {
          draining = false;
          return Optional.empty();
        }
        queuedBytes -= message.payload.size();
        return Optional.of(message);
      }

      private void deliver(QueuedMessage message, Optional<ByteString> reply, Throwable error) {
        if (error != null) {
          LOG.atWarning().withCause(error).log(
              "peer: handler of %s failed on a message from %s", channel, fromHostId);
        }
        message.receiver.receive(error == null, error == null ? reply : Optional.empty());
      }
    }
  }

  /**
   * A message that is queued for its handler.
   *
   * @param payload content of the message
   * @param receiver receives the handler's result
   */
  private record QueuedMessage(ByteString payload, ResultReceiver receiver) {}
}
