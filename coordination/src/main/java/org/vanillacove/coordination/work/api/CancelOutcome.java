package org.vanillacove.coordination.work.api;

/** Answer to a cancellation. */
public enum CancelOutcome {
  /** The job is cancelled, durably. */
  CANCELLED,
  /** There is no such job, or it had ended before. */
  NO_SUCH_JOB,
  /** The leader's term ended before that was known; the next leader knows it. */
  TERM_ENDED
}
