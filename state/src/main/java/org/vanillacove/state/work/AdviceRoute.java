package org.vanillacove.state.work;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the host that makes a call for advice. The adviser serves the calls of one host in turn,
 * so a host sends the next short calls before the last one is answered, and the way to the adviser
 * does not add up. The load this answers: a burst of small steps while few hosts can call.
 */
public final class AdviceRoute {
  /**
   * Work that a host may have at the adviser when a short call is added, in milliseconds: a round
   * trip between regions by way of a peer.
   */
  private static final double PIPELINE_MILLIS = 120;

  /** Most calls of one host at the adviser; it turns calls away from 32 on. */
  private static final int MOST_CALLS = 16;

  /** Time of a call from which it counts as long, in milliseconds. */
  private static final double LONG_CALL_MILLIS = 300;

  /** Hosts that never make long calls, where there are more than this many. */
  private static final int HOSTS_FOR_SHORT_CALLS = 3;

  private AdviceRoute() {}

  /**
   * A host as it can make calls.
   *
   * @param name its name
   * @param calls calls that were sent and not answered
   * @param workMillis time that the adviser still takes for them
   * @param distanceMillis time that its calls take beyond the adviser's work
   */
  public record Caller(String name, int calls, double workMillis, double distanceMillis) {}

  /** Returns whether a call of this length would hold up short ones behind it. */
  public static boolean isLong(double millis) {
    return millis > LONG_CALL_MILLIS;
  }

  /**
   * Returns the host for a call, or empty if it waits.
   *
   * @param millis time that the adviser takes for the call
   * @param callers hosts that can call now
   * @param longCalls long calls under way
   */
  public static Optional<Caller> choose(double millis, Collection<Caller> callers, int longCalls) {
    if (isLong(millis)) {
      int most = Math.max(1, callers.size() - HOSTS_FOR_SHORT_CALLS);
      // The way counts little for a long call, which leaves the near hosts to short ones.
      return longCalls >= most
          ? Optional.empty()
          : callers.stream()
              .filter(caller -> caller.calls() == 0)
              .max(Comparator.comparingDouble(Caller::distanceMillis));
    }
    return callers.stream()
        .filter(caller -> caller.calls() == 0 || hasRoom(caller, millis))
        .min(Comparator.comparingDouble(caller -> caller.workMillis() + caller.distanceMillis()));
  }

  private static boolean hasRoom(Caller caller, double millis) {
    return caller.calls() < MOST_CALLS && caller.workMillis() + millis <= PIPELINE_MILLIS;
  }
}
