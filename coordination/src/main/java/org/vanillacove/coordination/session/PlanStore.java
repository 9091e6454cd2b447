package org.vanillacove.coordination.session;

import org.vanillacove.coordination.stream.CellStore;

/** The newest session plan that this host knows; thread-safe. */
public final class PlanStore {
  /** The folded state, whose epoch may be newer than the plan's. */
  private final CellStore store;

  /** The plan. */
  private SessionPlan plan = SessionPlan.NONE;

  /** Newest monotonic time of the plan's leader that was heard, in milliseconds. */
  private long leaderClockMillis = Long.MIN_VALUE;

  /** Creates a store without a plan. */
  public PlanStore(CellStore store) {
    this.store = store;
  }

  /** Returns the plan. */
  public synchronized SessionPlan plan() {
    return plan;
  }

  /** Returns the newest known stamp; a plan is outdated once a later claim was folded. */
  public synchronized PlanStamp stamp() {
    PlanStamp claimed = new PlanStamp(store.epoch(), 0);
    return claimed.covers(plan.stamp()) ? claimed : plan.stamp();
  }

  /** Returns the newest leader clock of the plan's epoch, in milliseconds. */
  public synchronized long leaderClockMillis() {
    return leaderClockMillis;
  }

  /** Takes over a plan if it is newer. */
  public synchronized void adopt(SessionPlan newPlan) {
    if (newPlan.stamp().compareTo(plan.stamp()) > 0) {
      if (newPlan.stamp().epoch() != plan.stamp().epoch()) {
        leaderClockMillis = Long.MIN_VALUE;
      }
      plan = newPlan;
    }
  }

  /** Takes note of the leader's clock in {@code epoch}. */
  public synchronized void noteLeaderClock(long epoch, long clockMillis) {
    if (epoch == plan.stamp().epoch()) {
      leaderClockMillis = Math.max(leaderClockMillis, clockMillis);
    }
  }
}
