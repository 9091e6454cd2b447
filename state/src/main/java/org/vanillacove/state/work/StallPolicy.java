package org.vanillacove.state.work;

/**
 * Decides after which time without progress a run counts as stalled. Tasks that hang on a few
 * workers are restarted elsewhere, while long tasks, whose percentage rises slowly, continue.
 */
public final class StallPolicy {
  /** Stall timeout of a gang's run; longer than a restore and the wait for the other members. */
  private static final long GANG_TIMEOUT_MILLIS = 4_000;

  /** Stall timeout of a task outside a gang, which makes progress from its start. */
  private static final long TASK_TIMEOUT_MILLIS = 1_500;

  /**
   * Share of the declared run time in which the percentage must rise: several steps of one percent,
   * since declared run times are often too short and workers may be slow.
   */
  private static final double ESTIMATE_SHARE = 0.05;

  private StallPolicy() {}

  /** Returns the time without progress after which a run of {@code step} counts as stalled. */
  public static long timeoutMillis(StepSpec step) {
    long minimum = step.gang() ? GANG_TIMEOUT_MILLIS : TASK_TIMEOUT_MILLIS;
    return Math.max(minimum, (long) (step.estimateMillis() * ESTIMATE_SHARE));
  }
}
