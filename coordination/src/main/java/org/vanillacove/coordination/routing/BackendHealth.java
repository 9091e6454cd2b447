package org.vanillacove.coordination.routing;

/** Speed and failures of one backend server as this host saw them; a shard under its own lock. */
final class BackendHealth {
  /** Failures in a row after which a backend server is left out. */
  private static final int FAILURES_TO_EJECT = 5;

  /** Time for which a backend server is left out at first, in milliseconds. */
  private static final long EJECTION_MILLIS = 2_000;

  /** Largest number of doublings of that time. */
  private static final int MAX_DOUBLINGS = 4;

  /** Weight of a new observation of speed. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Time in which an old observation loses half of its force, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 60_000;

  /** Slowness above which a backend server counts as slow. */
  static final double SLOW_THRESHOLD = 2;

  /** Slots allowed to a backend server of good health. */
  private static final int UNLIMITED = Integer.MAX_VALUE / 2;

  /** Service time relative to the mean of its class; one is usual. */
  private double slowness = 1;

  /** Monotonic time of the newest observation, in milliseconds. */
  private long lastObservedMillis = Long.MIN_VALUE;

  /** Failures since the newest success. */
  private int consecutiveFailures;

  /** Times it was left out without a full recovery since. */
  private int ejections;

  /** Monotonic time until which it is left out, in milliseconds. */
  private long ejectedUntilMillis = Long.MIN_VALUE;

  /** Requests allowed at once while it is brought back. */
  private int maxInFlight = UNLIMITED;

  /** Requests in flight from this host. */
  private int inFlight;

  /** Counts a request that was sent. */
  synchronized void onStart() {
    inFlight++;
  }

  /**
   * Counts the end of a request.
   *
   * @param success whether the backend server did its part
   * @param relative service time over the mean of its class, or zero if it says nothing
   */
  synchronized void onEnd(boolean success, double relative, long nowMillis) {
    inFlight--;
    if (relative > 0) {
      slowness =
          slowness(nowMillis) + SMOOTHING_FACTOR * (Math.min(relative, 20) - slowness(nowMillis));
      lastObservedMillis = nowMillis;
    }
    if (success) {
      onSuccess();
    } else {
      onFailure(nowMillis);
    }
  }

  /** Counts the end of a request that says nothing about the backend server. */
  synchronized void onAbandoned() {
    inFlight--;
  }

  /** Returns the service time relative to the mean of its class, nearing one with age. */
  synchronized double slowness(long nowMillis) {
    if (slowness == 1 || nowMillis <= lastObservedMillis) {
      return slowness;
    }
    double age = (double) (nowMillis - lastObservedMillis);
    return 1 + (slowness - 1) * Math.pow(0.5, age / HALF_LIFE_MILLIS);
  }

  /** Returns whether its speed was observed. */
  synchronized boolean isObserved() {
    return lastObservedMillis != Long.MIN_VALUE;
  }

  /**
   * Returns whether one more request may be sent.
   *
   * @param compared slowness compared with the other backend servers
   */
  synchronized boolean allows(long nowMillis, double compared) {
    if (nowMillis < ejectedUntilMillis) {
      return false;
    }
    int most = compared > SLOW_THRESHOLD ? Math.min(1, maxInFlight) : maxInFlight;
    return inFlight < most;
  }

  /** Returns whether it is left out. */
  synchronized boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }

  private void onSuccess() {
    consecutiveFailures = 0;
    if (maxInFlight < UNLIMITED) {
      maxInFlight *= 2;
      if (maxInFlight > 16) {
        maxInFlight = UNLIMITED;
        ejections = 0;
      }
    }
  }

  private void onFailure(long nowMillis) {
    consecutiveFailures++;
    boolean relapse = maxInFlight < UNLIMITED;
    if ((relapse || consecutiveFailures >= FAILURES_TO_EJECT) && nowMillis >= ejectedUntilMillis) {
      ejectedUntilMillis = nowMillis + (EJECTION_MILLIS << Math.min(ejections, MAX_DOUBLINGS));
      ejections++;
      maxInFlight = 1;
    }
  }
}
