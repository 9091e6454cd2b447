package org.vanillacove.protocol.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Messages between entry hosts; delivery is neither certain nor ordered across reconnects. */
public interface PeerLink {
  /** Sends a message that expects no reply; it may be lost. */
  void send(String hostId, PeerChannel channel, ByteString payload);

  /** Sends a message and waits for a reply, empty if none came within {@code deadline}. */
  CompletableFuture<Optional<ByteString>> call(
      String hostId, PeerChannel channel, ByteString payload, Duration deadline);

  /** Registers the handler of a channel; one handler for each channel. */
  void register(PeerChannel channel, PeerHandler handler);

  /** Sets the addresses (host:port) of the hosts that can be reached, by host identifier. */
  void setPeers(Map<String, String> addresses);

  /** Handles messages of a channel. */
  @FunctionalInterface
  interface PeerHandler {
    /** Handles a message; an empty result sends no reply. */
    CompletableFuture<Optional<ByteString>> handle(String fromHostId, ByteString payload);
  }
}
