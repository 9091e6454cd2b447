package org.vanillacove.coordination.session;

import java.util.Comparator;

/**
 * Position of a session plan in the order of plans: by epoch, then by version.
 *
 * @param epoch leadership epoch
 * @param version number of the plan within the epoch, zero before the first
 */
public record PlanStamp(long epoch, long version) implements Comparable<PlanStamp> {
  /** Stamp that is older than that of every plan. */
  public static final PlanStamp NONE = new PlanStamp(0, 0);

  /** Order by epoch, then by version. */
  private static final Comparator<PlanStamp> ORDER =
      Comparator.comparingLong(PlanStamp::epoch).thenComparingLong(PlanStamp::version);

  @Override
  public int compareTo(PlanStamp other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this is at least as new as {@code other}. */
  public boolean isAtLeastAsNewAs(PlanStamp other) {
    return compareTo(other) >= 0;
  }
}
