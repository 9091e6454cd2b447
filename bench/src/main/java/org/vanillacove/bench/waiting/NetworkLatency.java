package org.vanillacove.bench.waiting;

/** One-way delays. */
final class Ways {
  /** Delay within a region in milliseconds. */
  private static final long NEAR_MILLIS = 1;

  /** Delay there and back within a region in milliseconds. */
  static final long NEAR_TRIP_MILLIS = 2 * NEAR_MILLIS;

  private Ways() {}

  /** Returns the delay between an entry host and a backend server or another entry host. */
  static long oneWayMillis(int one, int other) {
    return isNear(one, other) ? NEAR_MILLIS : Fleet.REGION_MILLIS;
  }

  /** Returns whether an entry host and a backend server or another entry host share a region. */
  static boolean isNear(int one, int other) {
    return one % Fleet.REGIONS == other % Fleet.REGIONS;
  }
}
