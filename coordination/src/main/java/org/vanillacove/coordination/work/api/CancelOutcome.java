package org.vanillacove.coordination.work.api;

/** Outcome of a cancellation. */
public enum CancelOutcome {
  /** The cancellation is durable. */
  CANCELLED,
  /** There is no such job, or it had already ended. */
  NO_SUCH_JOB,
  /** The leader's term ended before the outcome was known; the next leader knows it. */
  TERM_ENDED
}
