package org.vanillacove.bench.waiting;

/** Simulated network latency between hosts. */
final class NetworkLatency {
  /** One-way latency within a region, in milliseconds. */
  private static final long SAME_REGION_MILLIS = 1;

  /** Round-trip time within a region, in milliseconds. */
  static final long SAME_REGION_ROUND_TRIP_MILLIS = 2 * SAME_REGION_MILLIS;

  private NetworkLatency() {}

  /** Returns the latency between an entry host and a backend server or another entry host. */
  static long oneWayMillis(int one, int other) {
    return isSameRegion(one, other) ? SAME_REGION_MILLIS : Fleet.CROSS_REGION_MILLIS;
  }

  /** Returns whether an entry host and a backend server or another entry host share a region. */
  static boolean isSameRegion(int one, int other) {
    return one % Fleet.REGIONS == other % Fleet.REGIONS;
  }
}
