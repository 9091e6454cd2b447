package org.vanillacove.state.leadership;

/**
 * A host as a possible leader.
 *
 * @param host name of the host
 * @param capacity capacity from its settings
 * @param roundTripMillis shortest measured round-trip time to the store, in milliseconds
 * @param replicaAgeMillis age of its replica of the job records in milliseconds, negative for none
 * @param lagMillis recent lag of its event loop, in milliseconds
 */
public record LeaderCandidate(
    String host,
    HostCapacity capacity,
    long roundTripMillis,
    long replicaAgeMillis,
    long lagMillis) {
  /**
   * Minimum round-trip time to the store at which a host counts as far from it: the latency between
   * regions.
   */
  private static final long MIN_FAR_ROUND_TRIP_MILLIS = 30;

  /** Minimum age of a replica at which its host has completed its start and may lead. */
  private static final long MIN_REPLICA_AGE_MILLIS = 500;

  /** Returns whether a round-trip time is below that between regions. */
  public static boolean isNear(long roundTripMillis) {
    return roundTripMillis < MIN_FAR_ROUND_TRIP_MILLIS;
  }

  /** Returns whether the host is near the store. */
  public boolean isNearStore() {
    return isNear(roundTripMillis);
  }

  /** Returns whether the host has a replica of the job records with which it can lead at once. */
  public boolean isStandby() {
    return replicaAgeMillis >= MIN_REPLICA_AGE_MILLIS;
  }
}
