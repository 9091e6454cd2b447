package org.vanillacove.state.work;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the host that makes a call to the adviser. The adviser serves the calls of one host in
 * sequence, so a host pipelines short calls and pays the latency to the adviser only once. This
 * matters in a burst of small steps while few hosts can call.
 */
public final class AdviceRoute {
  /**
   * Maximum work of a host at the adviser including an added short call, in milliseconds: the
   * round-trip time between regions through a peer.
   */
  private static final double MAX_PIPELINED_MILLIS = 120;

  /** Maximum pending calls of one host; the adviser rejects calls from 32 on. */
  private static final int MAX_CALLS_PER_HOST = 16;

  /** Duration above which a call counts as long, in milliseconds. */
  private static final double LONG_CALL_THRESHOLD_MILLIS = 300;

  /** Number of hosts kept free of long calls, if there are more hosts than that. */
  private static final int HOSTS_FOR_SHORT_CALLS = 3;

  private AdviceRoute() {}

  /**
   * A host that can call the adviser.
   *
   * @param name name of the host
   * @param calls number of pending calls
   * @param workMillis time that the adviser needs for the pending calls
   * @param latencyMillis duration of the host's calls beyond the adviser's work
   */
  public record Caller(String name, int calls, double workMillis, double latencyMillis) {}

  /** Returns whether a call of this duration would delay short calls behind it too much. */
  public static boolean isLong(double millis) {
    return millis > LONG_CALL_THRESHOLD_MILLIS;
  }

  /**
   * Returns the host for a call, or empty if the call has to wait.
   *
   * @param millis time that the adviser needs for the call
   * @param callers hosts that can call now
   * @param longCalls number of long calls in progress over all hosts
   */
  public static Optional<Caller> choose(double millis, Collection<Caller> callers, int longCalls) {
    if (isLong(millis)) {
      int maxLongCalls = Math.max(1, callers.size() - HOSTS_FOR_SHORT_CALLS);
      // Latency matters little for a long call, so hosts with a low one are left to short calls.
      return longCalls >= maxLongCalls
          ? Optional.empty()
          : callers.stream()
              .filter(caller -> caller.calls() == 0)
              .max(Comparator.comparingDouble(Caller::latencyMillis));
    }
    return callers.stream()
        .filter(caller -> caller.calls() == 0 || canPipeline(caller, millis))
        .min(Comparator.comparingDouble(caller -> caller.workMillis() + caller.latencyMillis()));
  }

  private static boolean canPipeline(Caller caller, double millis) {
    return caller.calls() < MAX_CALLS_PER_HOST
        && caller.workMillis() + millis <= MAX_PIPELINED_MILLIS;
  }
}
