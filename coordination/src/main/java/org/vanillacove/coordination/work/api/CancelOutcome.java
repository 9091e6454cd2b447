package org.vanillacove.coordination.work.api;

/** Outcome of a cancellation. */
public enum CancelOutcome {
  /** The cancellation is durable. */
  CANCELLED,
  /** The job had already ended, or it isn't known and won't be accepted later. */
  NO_SUCH_JOB,
  /** Nothing was done: the job isn't known, and a tombstone of it can't be stored now. */
  REJECTED,
  /** Whether a tombstone of the unknown job is stored isn't known; the caller cancels again. */
  UNKNOWN,
  /** The leader's term ended before the outcome was known; the next leader knows it. */
  TERM_ENDED
}
