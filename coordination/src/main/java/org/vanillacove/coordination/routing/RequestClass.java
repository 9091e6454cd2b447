package org.vanillacove.coordination.routing;

import java.util.Locale;
import java.util.Optional;

/** Classes of requests by how soon their guests need them. */
public enum RequestClass {
  /** Somebody waits at the other end. */
  QUICK(0, 50),
  /** Of middle length. */
  MIDDLE(300, 300),
  /** Long work. */
  HEAVY(1_500, 2_000);

  /** Head start that other classes have over this one in the queue, in milliseconds. */
  private final long slackMillis;

  /** Service time that is expected before any was observed, in milliseconds. */
  private final long initialServiceMillis;

  RequestClass(long slackMillis, long priorMillis) {
    this.slackMillis = slackMillis;
    this.initialServiceMillis = priorMillis;
  }

  /** Returns the class named {@code name} in any case, empty if there is none. */
  public static Optional<RequestClass> parse(String name) {
    String wanted = name.toUpperCase(Locale.ROOT);
    for (RequestClass each : values()) {
      if (each.name().equals(wanted)) {
        return Optional.of(each);
      }
    }
    return Optional.empty();
  }

  /** Returns the head start that other classes have over this one, in milliseconds. */
  public long slackMillis() {
    return slackMillis;
  }

  /** Returns the service time expected before any was observed, in milliseconds. */
  public long initialServiceMillis() {
    return initialServiceMillis;
  }
}
