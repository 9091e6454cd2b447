package org.vanillacove.coordination.routing;

/**
 * Bounds on host leases and clocks; the limit on slots in use is only kept if they hold.
 *
 * @param hostLeaseMillis maximum time for which a host keeps its host lease after its last renewal
 * @param marginMillis allowance for clock drift and for short pauses of a process
 */
public record SlotTiming(long hostLeaseMillis, long marginMillis) {
  /** Values that match the host leases of the cell's membership. */
  public static final SlotTiming DEFAULTS = new SlotTiming(4_000, 500);

  /** Returns the time after which a host that is no longer agreed starts no request. */
  public long leaseExpiryMillis() {
    return hostLeaseMillis + marginMillis;
  }
}
