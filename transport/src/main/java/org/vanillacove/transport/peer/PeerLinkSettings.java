package org.vanillacove.transport.peer;

import java.time.Duration;

/**
 * Addresses, limits and timeouts of a peer link.
 *
 * @param hostId ID of this host
 * @param listenAddress IP address and port to listen on; port zero selects a free port
 * @param maxFrameBytes maximum frame size in bytes, without the length prefix
 * @param writeHighBytes unsent bytes of a connection above which messages are dropped
 * @param writeLowBytes unsent bytes of a connection below which messages are accepted again
 * @param connectTimeout maximum time to open a connection and receive the peer's hello
 * @param probeInterval time without a received frame after which a probe is sent
 * @param receiveTimeout time without a received frame after which a connection is replaced
 * @param minimumBackoff initial delay between two connection attempts to a peer
 * @param maximumBackoff maximum delay between two connection attempts to a peer
 */
public record PeerLinkSettings(
    String hostId,
    String listenAddress,
    int maxFrameBytes,
    int writeHighBytes,
    int writeLowBytes,
    Duration connectTimeout,
    Duration probeInterval,
    Duration receiveTimeout,
    Duration minimumBackoff,
    Duration maximumBackoff) {
  /** Default maximum frame size in bytes. */
  private static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;

  /** Default high watermark of a connection's write buffer, in bytes. */
  private static final int DEFAULT_WRITE_HIGH_BYTES = 1 << 20;

  /** Default low watermark of a connection's write buffer, in bytes. */
  private static final int DEFAULT_WRITE_LOW_BYTES = 256 << 10;

  /** Validates the host ID, the limits and the order of the timeouts. */
  public PeerLinkSettings {
    if (hostId.isBlank()) {
      throw new IllegalArgumentException("hostId: must not be blank");
    }
    if (maxFrameBytes < 1 || writeLowBytes < 1 || writeHighBytes < writeLowBytes) {
      throw new IllegalArgumentException("maxFrameBytes, writeLowBytes, writeHighBytes: too small");
    }
    if (receiveTimeout.compareTo(probeInterval) <= 0) {
      throw new IllegalArgumentException("receiveTimeout: must be longer than probeInterval");
    }
  }

  /** Returns settings with default limits and timeouts. */
  public static PeerLinkSettings of(String hostId, String listenAddress) {
    return new PeerLinkSettings(
        hostId,
        listenAddress,
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_WRITE_HIGH_BYTES,
        DEFAULT_WRITE_LOW_BYTES,
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        Duration.ofMillis(100),
        Duration.ofSeconds(5));
  }
}
