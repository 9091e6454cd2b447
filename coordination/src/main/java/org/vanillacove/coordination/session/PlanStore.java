package org.vanillacove.coordination.session;

import org.vanillacove.coordination.stream.CellStore;

/** Holds the newest session plan that this host knows; thread-safe. */
public final class PlanStore {
  /** Cell state, whose epoch may be newer than the plan's. */
  private final CellStore store;

  /** Newest plan, {@link SessionPlan#NONE} before the first. */
  private SessionPlan plan = SessionPlan.NONE;

  /**
   * Newest reading of the leader's monotonic clock in the plan's epoch, in milliseconds; the
   * minimum value before the first.
   */
  private long leaderClockMillis = Long.MIN_VALUE;

  /** Creates a store without a plan. */
  public PlanStore(CellStore store) {
    this.store = store;
  }

  /** Returns the newest plan, {@link SessionPlan#NONE} before the first. */
  public synchronized SessionPlan plan() {
    return plan;
  }

  /**
   * Returns the newest known stamp: the plan's, or version zero of a later epoch whose leadership
   * claim was applied and which outdates the plan.
   */
  public synchronized PlanStamp stamp() {
    PlanStamp claimed = new PlanStamp(store.epoch(), 0);
    return claimed.isAtLeastAsNewAs(plan.stamp()) ? claimed : plan.stamp();
  }

  /**
   * Returns the newest reading of the leader's monotonic clock in the plan's epoch, in
   * milliseconds.
   */
  public synchronized long leaderClockMillis() {
    return leaderClockMillis;
  }

  /** Replaces the plan if {@code newPlan} is newer. */
  public synchronized void adopt(SessionPlan newPlan) {
    if (newPlan.stamp().compareTo(plan.stamp()) > 0) {
      if (newPlan.stamp().epoch() != plan.stamp().epoch()) {
        leaderClockMillis = Long.MIN_VALUE;
      }
      plan = newPlan;
    }
  }

  /** Records a reading of the leader's clock; ignores it if {@code epoch} isn't the plan's. */
  public synchronized void updateLeaderClock(long epoch, long clockMillis) {
    if (epoch == plan.stamp().epoch()) {
      leaderClockMillis = Math.max(leaderClockMillis, clockMillis);
    }
  }
}
