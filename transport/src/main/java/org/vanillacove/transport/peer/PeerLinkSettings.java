package org.vanillacove.transport.peer;

import java.time.Duration;

/**
 * Settings of a peer link.
 *
 * @param hostId identifier of this host
 * @param listenAddress address to listen on as host:port, by IP number; port zero takes a free one
 * @param maxFrameBytes largest frame in bytes, without its length
 * @param writeHighBytes unsent bytes of a connection from which on messages are dropped
 * @param writeLowBytes unsent bytes of a connection below which it takes messages again
 * @param connectTimeout time within which a connection must be open and its hello answered
 * @param probeInterval interval of probes on connections on which nothing was received
 * @param silenceTimeout time without anything received after which a connection is replaced
 * @param minimumBackoff first delay between two connection attempts to a peer
 * @param maximumBackoff largest delay between two connection attempts to a peer
 */
public record PeerLinkSettings(
    String hostId,
    String listenAddress,
    int maxFrameBytes,
    int writeHighBytes,
    int writeLowBytes,
    Duration connectTimeout,
    Duration probeInterval,
    Duration silenceTimeout,
    Duration minimumBackoff,
    Duration maximumBackoff) {
  /** Default of the largest frame in bytes. */
  private static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;

  /** Default of the high write watermark in bytes. */
  private static final int DEFAULT_WRITE_HIGH_BYTES = 1 << 20;

  /** Default of the low write watermark in bytes. */
  private static final int DEFAULT_WRITE_LOW_BYTES = 256 << 10;

  /** Checks the values. */
  public PeerLinkSettings {
    if (hostId.isBlank()) {
      throw new IllegalArgumentException("hostId: must not be blank");
    }
    if (maxFrameBytes < 1 || writeLowBytes < 1 || writeHighBytes < writeLowBytes) {
      throw new IllegalArgumentException("maxFrameBytes, writeLowBytes, writeHighBytes: too small");
    }
    if (silenceTimeout.compareTo(probeInterval) <= 0) {
      throw new IllegalArgumentException("silenceTimeout: must be longer than probeInterval");
    }
  }

  /** Returns the default settings of a host. */
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
