package org.vanillacove.state.work;

import java.time.Duration;
import java.util.Optional;

/**
 * Rejects a job that can't be on time behind the work accepted before it. The load that it answers:
 * a burst of jobs that exceeds the capacity for some seconds, where accepting all of them would
 * make all of them late. A job is never rejected while free workers hold its first step.
 */
public final class AdmissionPolicy {
  /** Usable share of the capacity; the rest is lost to fragmentation and restarted runs. */
  private static final double USABLE_SHARE = 0.85;

  /** Minimum retry delay of a rejected caller. */
  private static final Duration MIN_RETRY_DELAY = Duration.ofSeconds(1);

  /** Maximum retry delay of a rejected caller. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);

  /** Share of the retry delay over which callers are spread, so that they don't return at once. */
  private static final double SPREAD_SHARE = 0.5;

  /** Number of different delays among which callers are spread. */
  private static final int SPREAD_SLOTS = 64;

  private AdmissionPolicy() {}

  /**
   * Capacity and load on which the decision is based.
   *
   * @param capacityCores total cores of the workers that count for the job's queue
   * @param backlogCoreMillis accepted work that hasn't started and precedes the job, in
   *     milliseconds of one core
   * @param slackMillis time that the job may wait and still be on time
   */
  public record View(double capacityCores, double backlogCoreMillis, long slackMillis) {

    /** Returns for how much longer than its slack the job would wait; not above 0 if on time. */
    private double excessMillis() {
      return backlogCoreMillis / (capacityCores * USABLE_SHARE) - slackMillis;
    }
  }

  /**
   * Cores that are free now for the first step of a job.
   *
   * @param freeCores free cores that tasks of the step can use
   * @param waitingCores cores that preceding waiting tasks can use now
   * @param neededCores cores of the whole step
   */
  public record FreeCapacity(double freeCores, double waitingCores, double neededCores) {

    /** Returns whether the step can start beside all that precedes it. */
    public boolean suffices() {
      return neededCores > 0 && freeCores - waitingCores >= neededCores;
    }
  }

  /** Returns whether the job would be on time behind the accepted work. */
  public static boolean isOnTime(View view) {
    return view.capacityCores() > 0 && view.excessMillis() <= 0;
  }

  /**
   * Returns when the caller of a rejected job is to return: when the job would be on time, spread
   * by its identifier.
   */
  public static Duration retryDelay(String job, View view) {
    double excess = view.capacityCores() > 0 ? view.excessMillis() : 0;
    long minimum =
        Math.clamp((long) excess, MIN_RETRY_DELAY.toMillis(), MAX_RETRY_DELAY.toMillis());
    double slot = (double) Math.floorMod(mix(job.hashCode()), SPREAD_SLOTS) / SPREAD_SLOTS;
    return Duration.ofMillis(
        Math.min(MAX_RETRY_DELAY.toMillis(), minimum + (long) (minimum * SPREAD_SHARE * slot)));
  }

  /** Returns empty to accept the job, or the retry delay of a rejected caller. */
  public static Optional<Duration> rejection(String job, View view, FreeCapacity free) {
    return isOnTime(view) || free.suffices()
        ? Optional.empty()
        : Optional.of(retryDelay(job, view));
  }

  /** Mixes all bits into the lower ones, since identifiers may differ in few characters. */
  private static int mix(int hash) {
    int mixed = hash * 0x9E3779B9;
    return mixed ^ (mixed >>> 16);
  }
}
