package org.vanillacove.state.tenancy;

import java.time.Duration;
import java.util.Optional;
import org.vanillacove.state.work.AdmissionPolicy;

/**
 * Rejects a job beyond the rate of its organisation when room is short. Answers the load of a hot
 * organisation: its excess is turned away at once while owed jobs can still be on time, and is
 * served as any other job while there is room.
 */
public final class ExcessPolicy {
  /**
   * Part of the time that a job may wait which excess may fill; the rest stays for owed jobs that
   * come later.
   */
  private static final double EXCESS_SHARE = 0.5;

  /** Maximum retry delay of a rejected caller. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);

  private ExcessPolicy() {}

  /**
   * Returns empty to accept the job, or the retry delay of a rejected caller.
   *
   * @param job identifier of the job, by which returning callers are spread
   * @param view capacity and all work that precedes the job
   * @param millisToNext time until a job of the organisation is within its rate again
   */
  public static Optional<Duration> rejection(
      String job, AdmissionPolicy.View view, long millisToNext) {
    AdmissionPolicy.View shorter =
        new AdmissionPolicy.View(
            view.capacityCores(),
            view.backlogCoreMillis(),
            (long) (Math.max(0, view.slackMillis()) * EXCESS_SHARE));
    if (AdmissionPolicy.isOnTime(shorter)) {
      return Optional.empty();
    }
    Duration delay = AdmissionPolicy.retryDelay(job, shorter).plusMillis(millisToNext);
    return Optional.of(delay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : delay);
  }
}
