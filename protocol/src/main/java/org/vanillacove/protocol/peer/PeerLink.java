package org.vanillacove.protocol.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Message link between entry hosts; messages may be lost, or reordered across reconnects. */
public interface PeerLink {
  /** Sends a message that expects no reply; it may be lost. */
  void send(String hostId, PeerChannel channel, ByteString payload);

  /** Sends a request; the future completes empty if no reply arrives within {@code deadline}. */
  CompletableFuture<Optional<ByteString>> call(
      String hostId, PeerChannel channel, ByteString payload, Duration deadline);

  /** Registers the handler of a channel; each channel has a single handler. */
  void register(PeerChannel channel, PeerHandler handler);

  /** Sets the addresses (host:port) of the hosts to connect to, by host identifier. */
  void setPeers(Map<String, String> addresses);

  /** Handles the messages received on a channel. */
  @FunctionalInterface
  interface PeerHandler {
    /** Handles a message; no reply is sent if the result is empty. */
    CompletableFuture<Optional<ByteString>> handle(String fromHostId, ByteString payload);
  }
}
