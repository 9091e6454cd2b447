package org.vanillacove.state.work;

import java.time.Duration;
import java.util.Optional;

/**
 * Rejects a job that can't be on time behind the work accepted before it. If a burst of jobs of one
 * kind exceeds the capacity for some seconds, accepting all of them would make all of them late.
 */
public final class AdmissionPolicy {
  /** Usable share of the capacity; the rest is lost to fragmentation and restarted runs. */
  private static final double USABLE_SHARE = 0.85;

  /** Minimum retry delay of a rejected caller. */
  private static final Duration MIN_RETRY_DELAY = Duration.ofSeconds(1);

  /** Maximum retry delay of a rejected caller. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);

  private AdmissionPolicy() {}

  /**
   * Capacity and load on which the decision is based.
   *
   * @param capacityCores total cores of the workers that count for the job's queue
   * @param backlogCoreMillis accepted work that hasn't started and precedes the job, in
   *     milliseconds of one core
   * @param slackMillis time that the job may wait and still be on time
   */
  public record View(double capacityCores, double backlogCoreMillis, long slackMillis) {}

  /** Returns empty to accept the job, or the retry delay of a rejected caller. */
  public static Optional<Duration> rejection(View view) {
    if (view.capacityCores() <= 0) {
      return Optional.of(MIN_RETRY_DELAY);
    }
    double waitMillis = view.backlogCoreMillis() / (view.capacityCores() * USABLE_SHARE);
    double excess = waitMillis - view.slackMillis();
    if (excess <= 0) {
      return Optional.empty();
    }
    long millis = Math.clamp((long) excess, MIN_RETRY_DELAY.toMillis(), MAX_RETRY_DELAY.toMillis());
    return Optional.of(Duration.ofMillis(millis));
  }
}
