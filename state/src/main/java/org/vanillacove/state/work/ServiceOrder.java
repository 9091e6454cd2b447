package org.vanillacove.state.work;

import java.util.Comparator;

/**
 * Order in which waiting steps are served: first those that can still meet their objective, then
 * late ones, last those that can't earn credit any more. Within each class, steps are ordered by
 * the priority of their queue and then by the latest time at which they must start.
 */
public final class ServiceOrder {
  /** Multiple of the objective after which a job earns no credit, by the users' rules. */
  private static final int NO_CREDIT_FACTOR = 3;

  /** Speed of a slow worker relative to declared run times. */
  private static final double SLOW_SPEED = 0.6;

  private ServiceOrder() {}

  /**
   * Values by which a waiting step is ordered.
   *
   * @param priority priority of its queue; 0 is served first
   * @param submittedMillis monotonic time of the first submission
   * @param objectiveMillis time from submission for full credit
   * @param remainingMillis declared time to the end of the job if the step starts now
   */
  public record WaitingStep(
      int priority, long submittedMillis, long objectiveMillis, long remainingMillis) {

    /**
     * Returns 0 for a step that can be on time, 1 if it is late, 2 if it earns no credit any more.
     */
    int lateness(long nowMillis) {
      long end = nowMillis + remainingMillis - submittedMillis;
      if (end <= objectiveMillis) {
        return 0;
      }
      return end <= NO_CREDIT_FACTOR * objectiveMillis ? 1 : 2;
    }

    /** Returns whether the job can be on time, but not on a slow worker. */
    public boolean isUrgent(long nowMillis) {
      return lateness(nowMillis) == 0
          && latestStartMillis() - nowMillis < remainingMillis * (1 / SLOW_SPEED - 1);
    }

    /** Returns whether the job earns no credit any more, so that it is served last. */
    public boolean earnsNothing(long nowMillis) {
      return lateness(nowMillis) > 1;
    }

    /** Returns the latest start time at which the job is still on time. */
    public long latestStartMillis() {
      return submittedMillis + objectiveMillis - remainingMillis;
    }
  }

  /** Returns the service order at {@code nowMillis}, monotonic time in milliseconds. */
  public static Comparator<WaitingStep> at(long nowMillis) {
    return urgencyAt(nowMillis).thenComparingLong(WaitingStep::latestStartMillis);
  }

  /**
   * Returns the part of the service order that goes before the shares of organisations: steps that
   * compare as equal are of the same class and priority.
   */
  public static Comparator<WaitingStep> urgencyAt(long nowMillis) {
    return Comparator.comparingInt((WaitingStep w) -> w.lateness(nowMillis))
        .thenComparingInt(WaitingStep::priority);
  }
}
