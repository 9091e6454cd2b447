package org.vanillacove.coordination.work.api;

import java.time.Duration;

/** Answer to a submission. */
public sealed interface SubmitOutcome {
  /** The job is stored and will run. */
  record Accepted() implements SubmitOutcome {}

  /**
   * The job was not accepted and never runs from this submission.
   *
   * @param reason why, for logs
   * @param retryAfter time after which to submit again
   */
  record Rejected(String reason, Duration retryAfter) implements SubmitOutcome {}

  /** Whether the job was accepted is not known; the caller asks again with the same id. */
  record Unknown() implements SubmitOutcome {}
}
