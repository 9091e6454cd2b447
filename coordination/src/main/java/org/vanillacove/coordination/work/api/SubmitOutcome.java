package org.vanillacove.coordination.work.api;

import java.time.Duration;

/** Outcome of a submission. */
public sealed interface SubmitOutcome {
  /** The acceptance is durable; the job will run. */
  record Accepted() implements SubmitOutcome {}

  /**
   * The job wasn't accepted and won't run because of this submission.
   *
   * @param reason reason of the rejection, also a metric label
   * @param detail values that led to it, empty if there are none
   * @param retryAfter delay after which the caller may submit the job again
   */
  record Rejected(String reason, String detail, Duration retryAfter) implements SubmitOutcome {
    /** Creates a rejection without details. */
    public Rejected(String reason, Duration retryAfter) {
      this(reason, "", retryAfter);
    }

    /** Returns the reason with its details, for the caller. */
    public String message() {
      return detail.isEmpty() ? reason : reason + ": " + detail;
    }
  }

  /** The job was cancelled before this submission arrived; it isn't accepted and won't run. */
  record Cancelled() implements SubmitOutcome {}

  /**
   * Whether the job is stored isn't known; the caller submits it again with the same identifier.
   */
  record Unknown() implements SubmitOutcome {}

  /** The leader's term ended before the outcome was known; the next leader knows it. */
  record TermEnded() implements SubmitOutcome {}
}
