package org.vanillacove.state.tenancy;

/**
 * Tells whether a job of an organisation is within its weight in jobs a second, with a burst of a
 * few seconds. Answers the load of an organisation that sends many times its usual: what it sends
 * beyond its weight isn't owed, so that its burst doesn't cost the others their jobs.
 */
public final class OwedRate {
  /** Time whose jobs may come at once, in seconds. */
  private static final double BURST_SECONDS = 2;

  /** Tolerance for sums of fractions, in jobs. */
  private static final double ROUNDING_JOBS = 1e-6;

  /** Jobs that may still be accepted now. */
  private double allowance;

  /** Monotonic time of the last change of the allowance, in milliseconds. */
  private long updatedMillis;

  /** Creates a rate whose whole burst is available. */
  public OwedRate(double jobsPerSecond, long nowMillis) {
    allowance = burst(jobsPerSecond);
    updatedMillis = nowMillis;
  }

  /**
   * Counts a job if it is within the rate.
   *
   * @param jobsPerSecond present weight of the organisation; it may differ from call to call
   * @param nowMillis monotonic time in milliseconds
   * @return whether the job is within the rate
   */
  public boolean take(double jobsPerSecond, long nowMillis) {
    double added = jobsPerSecond * (nowMillis - updatedMillis) / 1000;
    updatedMillis = nowMillis;
    allowance = Math.min(burst(jobsPerSecond), allowance + added);
    if (allowance < 1 - ROUNDING_JOBS) {
      return false;
    }
    allowance--;
    return true;
  }

  /** Takes back the last counted job, which was not accepted. */
  public void giveBack() {
    allowance++;
  }

  /** Returns the time until another job is within the rate, in milliseconds. */
  public long millisToNext(double jobsPerSecond) {
    return (long) Math.ceil(Math.max(0, 1 - allowance) * 1000 / jobsPerSecond);
  }

  private static double burst(double jobsPerSecond) {
    return Math.max(1, jobsPerSecond * BURST_SECONDS);
  }
}
