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

  /** The store does not say whether the job is stored; the caller asks again with the same id. */
  record Unknown() implements SubmitOutcome {}

  /** The leader's term ended before that was known; the next leader knows it. */
  record TermEnded() implements SubmitOutcome {}
}
