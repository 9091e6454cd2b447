package org.vanillacove.state.work;

import java.util.Comparator;

/**
 * Order in which waiting steps are served. Work that can still meet its objective goes before work
 * that is late, and work that can earn nothing any more goes last. Among equals the queue's
 * priority decides, then the latest moment at which the work must start.
 */
public final class ServiceOrder {
  /** Multiple of the objective after which a job earns nothing, by the users' rules. */
  private static final int WORTHLESS_AFTER = 3;

  private ServiceOrder() {}

  /**
   * A step that waits.
   *
   * @param priority priority of its queue, 0 first
   * @param submittedMillis time of the first submission
   * @param objectiveMillis time from submission for full credit
   * @param remainingMillis declared time from now to the end of the job if started now
   */
  public record Waiting(
      int priority, long submittedMillis, long objectiveMillis, long remainingMillis) {

    /** Returns 0 for work that can be on time, 1 for late work, 2 for work beyond all credit. */
    int lateness(long nowMillis) {
      long end = nowMillis + remainingMillis - submittedMillis;
      if (end <= objectiveMillis) {
        return 0;
      }
      return end <= WORTHLESS_AFTER * objectiveMillis ? 1 : 2;
    }

    /** Returns the latest time to start and still be on time. */
    long latestStartMillis() {
      return submittedMillis + objectiveMillis - remainingMillis;
    }
  }

  /** Returns the order at {@code nowMillis}. */
  public static Comparator<Waiting> at(long nowMillis) {
    return Comparator.comparingInt((Waiting w) -> w.lateness(nowMillis))
        .thenComparingInt(Waiting::priority)
        .thenComparingLong(Waiting::latestStartMillis);
  }
}
