package org.vanillacove.coordination.routing;

import java.util.Locale;
import java.util.Optional;

/** Latency classes of requests, which decide their priority in the queue. */
public enum RequestClass {
  /** Interactive requests with someone waiting for the response. */
  QUICK(0, 50),
  /** Requests of medium length. */
  MIDDLE(300, 300),
  /** Long-running requests. */
  HEAVY(1_500, 2_000);

  /**
   * Delay added to the arrival time of a request of this class when the queue orders it against
   * other classes, in milliseconds.
   */
  private final long slackMillis;

  /** Service time assumed until some were observed, in milliseconds. */
  private final long initialServiceMillis;

  RequestClass(long slackMillis, long priorMillis) {
    this.slackMillis = slackMillis;
    this.initialServiceMillis = priorMillis;
  }

  /** Returns the class named {@code name}, ignoring case; empty if there is none. */
  public static Optional<RequestClass> parse(String name) {
    String wanted = name.toUpperCase(Locale.ROOT);
    for (RequestClass each : values()) {
      if (each.name().equals(wanted)) {
        return Optional.of(each);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the delay added to arrival times when ordering against other classes, in milliseconds.
   */
  public long slackMillis() {
    return slackMillis;
  }

  /** Returns the service time assumed until some were observed, in milliseconds. */
  public long initialServiceMillis() {
    return initialServiceMillis;
  }
}
