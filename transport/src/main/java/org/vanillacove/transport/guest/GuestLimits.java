package org.vanillacove.transport.guest;

import java.time.Duration;

/**
 * Limits on what guests may send and how long the parts of an exchange may take.
 *
 * @param maxHeaderBytes size of all headers of a request
 * @param maxBodyBytes size of the body of a request
 * @param maxReplayBytes size of a body that is held in memory, so that it can be sent again
 * @param maxConnections open connections of guests
 * @param bodyTimeout time within which the body of a small request must arrive
 * @param pingInterval time without traffic after which a connection is probed
 * @param connectTimeout time within which a connection to a backend server must be open
 */
public record GuestLimits(
    int maxHeaderBytes,
    long maxBodyBytes,
    int maxReplayBytes,
    int maxConnections,
    Duration bodyTimeout,
    Duration pingInterval,
    Duration connectTimeout) {
  /** Usual limits. */
  public static final GuestLimits DEFAULTS =
      new GuestLimits(
          16 * 1024,
          256L * 1024 * 1024,
          256 * 1024,
          4_096,
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));
}
