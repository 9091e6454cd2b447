package org.vanillacove.transport.guest;

import java.time.Duration;

/**
 * Limits on the size of guest requests and timeouts for the phases of an exchange.
 *
 * @param maxHeaderBytes maximum total size of the headers of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param maxReplayBytes maximum size of a body that is held in memory so that it can be resent
 * @param maxConnections maximum number of open connections from guests
 * @param bodyTimeout time within which a body that is held in memory must arrive
 * @param pingInterval idle time after which a connection is probed
 * @param connectTimeout timeout for opening a connection to a backend server
 */
public record GuestLimits(
    int maxHeaderBytes,
    long maxBodyBytes,
    int maxReplayBytes,
    int maxConnections,
    Duration bodyTimeout,
    Duration pingInterval,
    Duration connectTimeout) {
  /** Limits that entry hosts use by default. */
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
