package org.vanillacove.state.work;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides at the door whether a job can still be on time behind what was accepted before. The load
 * it answers: a burst of one kind that exceeds the capacity for some seconds, in which accepting
 * everything makes all of that kind late.
 */
public final class AdmissionPolicy {
  /** Share of the capacity that accepted work gets; the rest is lost to packing and restarts. */
  private static final double USABLE_SHARE = 0.85;

  /** Shortest time after which a rejected caller is asked to return. */
  private static final Duration SHORTEST_RETURN = Duration.ofSeconds(1);

  /** Longest time after which a rejected caller is asked to return. */
  private static final Duration LONGEST_RETURN = Duration.ofSeconds(8);

  private AdmissionPolicy() {}

  /**
   * The cell as admission sees it.
   *
   * @param capacityCores cores of all usable workers
   * @param backlogCoreMillis work that was accepted, goes before the job and has not ended
   * @param slackMillis time that the job may wait and still be on time
   */
  public record View(double capacityCores, double backlogCoreMillis, long slackMillis) {}

  /** Returns empty to accept, or the time after which the caller should return. */
  public static Optional<Duration> rejection(View view) {
    if (view.capacityCores() <= 0) {
      return Optional.of(SHORTEST_RETURN);
    }
    double waitMillis = view.backlogCoreMillis() / (view.capacityCores() * USABLE_SHARE);
    double excess = waitMillis - view.slackMillis();
    if (excess <= 0) {
      return Optional.empty();
    }
    long millis = Math.clamp((long) excess, SHORTEST_RETURN.toMillis(), LONGEST_RETURN.toMillis());
    return Optional.of(Duration.ofMillis(millis));
  }
}
