package org.vanillacove.coordination.routing;

/**
 * Times that the safety of slots rests on.
 *
 * @param standingMillis longest time a host keeps its standing after it was last renewed
 * @param marginMillis allowance for clocks that run at different speeds and for short pauses
 */
public record SlotTiming(long standingMillis, long marginMillis) {
  /** Times that fit the standing of the cell's membership. */
  public static final SlotTiming DEFAULTS = new SlotTiming(4_000, 500);

  /** Returns the time after which a host that lost its agreed place starts nothing more. */
  public long leaseExpiryMillis() {
    return standingMillis + marginMillis;
  }
}
