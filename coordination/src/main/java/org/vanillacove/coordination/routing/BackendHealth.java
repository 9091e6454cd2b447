package org.vanillacove.coordination.routing;

/** Speed and failures of one backend server as observed by this host; guarded by its own lock. */
final class BackendHealth {
  /** Number of consecutive failures after which a backend server is ejected. */
  private static final int FAILURES_TO_EJECT = 5;

  /** Duration of the first ejection, in milliseconds. */
  private static final long EJECTION_MILLIS = 2_000;

  /** Maximum number of times that this duration is doubled. */
  private static final int MAX_DOUBLINGS = 4;

  /** Weight of a new observation in the moving average of the slowness. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /**
   * Time after which the slowness has decayed halfway to one without observations, in milliseconds.
   */
  private static final double HALF_LIFE_MILLIS = 60_000;

  /**
   * Slowness, relative to the other backend servers, above which a backend server counts as slow.
   */
  static final double SLOW_THRESHOLD = 2;

  /** Limit on requests in flight for a healthy backend server; in effect none. */
  private static final int UNLIMITED = Integer.MAX_VALUE / 2;

  /**
   * Moving average of the service time relative to the mean of the request's class; one is normal.
   */
  private double slowness = 1;

  /** Monotonic time of the newest observation of the slowness, in milliseconds. */
  private long lastObservedMillis = Long.MIN_VALUE;

  /** Number of failures since the last success. */
  private int consecutiveFailures;

  /** Number of ejections since the last full recovery; sets the duration of the next one. */
  private int ejections;

  /** Monotonic time until which the backend server is ejected, in milliseconds. */
  private long ejectedUntilMillis = Long.MIN_VALUE;

  /**
   * Maximum number of requests in flight; limited while the backend server recovers from an
   * ejection.
   */
  private int maxInFlight = UNLIMITED;

  /** Number of requests in flight from this host. */
  private int inFlight;

  /** Counts a request that was sent. */
  synchronized void onStart() {
    inFlight++;
  }

  /**
   * Counts the end of a request.
   *
   * @param success whether the backend server processed the request
   * @param relativeServiceTime service time divided by the mean of its class, or zero to ignore it
   */
  synchronized void onEnd(boolean success, double relativeServiceTime, long nowMillis) {
    inFlight--;
    if (relativeServiceTime > 0) {
      slowness =
          slowness(nowMillis)
              + SMOOTHING_FACTOR * (Math.min(relativeServiceTime, 20) - slowness(nowMillis));
      lastObservedMillis = nowMillis;
    }
    if (success) {
      onSuccess();
    } else {
      onFailure(nowMillis);
    }
  }

  /** Counts the end of a request without judging the backend server by it. */
  synchronized void onAbandoned() {
    inFlight--;
  }

  /**
   * Returns the service time relative to the mean of the request's class, which decays to one as
   * the newest observation ages.
   */
  synchronized double slowness(long nowMillis) {
    if (slowness == 1 || nowMillis <= lastObservedMillis) {
      return slowness;
    }
    double age = (double) (nowMillis - lastObservedMillis);
    return 1 + (slowness - 1) * Math.pow(0.5, age / HALF_LIFE_MILLIS);
  }

  /** Returns whether the speed of the backend server was ever observed. */
  synchronized boolean isObserved() {
    return lastObservedMillis != Long.MIN_VALUE;
  }

  /**
   * Returns whether one more request may be sent. A slow backend server gets one at a time.
   *
   * @param relativeSlowness slowness divided by the median of all backend servers
   */
  synchronized boolean allows(long nowMillis, double relativeSlowness) {
    if (nowMillis < ejectedUntilMillis) {
      return false;
    }
    int limit = relativeSlowness > SLOW_THRESHOLD ? Math.min(1, maxInFlight) : maxInFlight;
    return inFlight < limit;
  }

  /** Returns whether the backend server is ejected. */
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
    boolean isRecovering = maxInFlight < UNLIMITED;
    if ((isRecovering || consecutiveFailures >= FAILURES_TO_EJECT)
        && nowMillis >= ejectedUntilMillis) {
      ejectedUntilMillis = nowMillis + (EJECTION_MILLIS << Math.min(ejections, MAX_DOUBLINGS));
      ejections++;
      maxInFlight = 1;
    }
  }
}
