package org.vanillacove.coordination.work.api;

/** Answer to a cancellation. */
public enum CancelOutcome {
  /** The job is cancelled, durably. */
  CANCELLED,
  /** There is no such job, or it had ended before. */
  NO_SUCH_JOB,
  /** Whether it is cancelled is not known; the caller asks again. */
  UNKNOWN
}
