package org.vanillacove.coordination.work;

/** Latest time at which the lease of one worker may end, as far as its leader can tell. */
final class LeaseBound {
  /**
   * Minimum rate of a worker's clock relative to this host's clock, by the users' specification.
   */
  private static final double MIN_CLOCK_RATE = 0.98;

  /** Time after the computed end of a lease in which the worker is still killing its runs. */
  private static final long LAPSE_MARGIN_MILLIS = 500;

  /** Length of the requested leases, and the maximum that workers grant. */
  private final LeaseTerms terms;

  /** Clock of the worker in its latest report, in milliseconds. */
  private long clockMillis;

  /** Monotonic time of the latest report in milliseconds; negative before the first one. */
  private long reportedMillis = -1;

  /** Latest lease end that the worker may have granted, on its clock. */
  private long endMillis;

  /** Monotonic time at which the latest restart was noticed; negative before the first one. */
  private long restartedMillis = -1;

  /** Whether the present incarnation rejects calls for former ones, by its reports. */
  private boolean fenced;

  /** What {@link #endMillis} was computed from. */
  private Basis basis = Basis.LONGEST;

  /** Creates a bound for a worker that has not reported. */
  LeaseBound(LeaseTerms terms) {
    this.terms = terms;
  }

  /** What a bound was computed from; printed by name in logs and metrics. */
  enum Basis {
    /** The latest lease end that this leader requested. */
    REQUESTED,
    /** The longest lease that workers grant, for calls that this leader can't account for. */
    LONGEST
  }

  /** Forgets the reports of the former incarnation. */
  void restarted(long nowMillis) {
    restartedMillis = nowMillis;
    reportedMillis = -1;
    clockMillis = 0;
    fenced = false;
    basis = Basis.LONGEST;
  }

  /**
   * Takes over the clock of a report that was received now.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param clock worker's clock in the report, in milliseconds
   * @param current whether the report was requested with the fence of the present incarnation
   */
  void reported(long nowMillis, long clock, boolean current) {
    if (!fenced) {
      // A former leader, or this one before it noticed a restart, may have sent a lease end on the
      // clock of a former incarnation. It gives the present one the longest lease.
      endMillis = clock + terms.maxMillis();
      basis = Basis.LONGEST;
      fenced = current;
    }
    clockMillis = clock;
    reportedMillis = nowMillis;
  }

  boolean hasReported() {
    return reportedMillis >= 0;
  }

  long reportedMillis() {
    return reportedMillis;
  }

  long clockMillis() {
    return clockMillis;
  }

  Basis basis() {
    return basis;
  }

  /** Returns the lease end to request now, on the worker's clock. */
  long request(long nowMillis) {
    long target = clockMillis + (nowMillis - reportedMillis) + terms.lengthMillis();
    if (target >= endMillis) {
      endMillis = target;
      basis = Basis.REQUESTED;
    }
    return target;
  }

  /** Returns whether the lease has certainly ended; false while nothing is known of the worker. */
  boolean hasLapsed(long nowMillis) {
    boolean known = hasReported() || restartedMillis >= 0;
    return known && nowMillis > lapseMillis();
  }

  /** Returns for how long the worker has not been heard of, in milliseconds. */
  long silentMillis(long nowMillis) {
    return nowMillis - Math.max(reportedMillis, restartedMillis);
  }

  private long lapseMillis() {
    if (!hasReported()) {
      // A start that reached the new incarnation was granted at most the longest lease.
      return restartedMillis + (long) (terms.maxMillis() / MIN_CLOCK_RATE) + LAPSE_MARGIN_MILLIS;
    }
    double left = Math.max(0, endMillis - clockMillis) / MIN_CLOCK_RATE;
    return reportedMillis + (long) left + LAPSE_MARGIN_MILLIS;
  }

  @Override
  public String toString() {
    return "clock_ms=" + clockMillis + " lease_end_ms=" + endMillis + " basis=" + basis;
  }
}
