package org.vanillacove.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Outcome of a request to an entry host. */
sealed interface ClientOutcome {
  /**
   * The host answered.
   *
   * @param status HTTP status code
   * @param body body of the answer
   */
  record Answered(int status, JsonNode body) implements ClientOutcome {
    /** Returns whether the host did what it was asked. */
    boolean isSuccess() {
      return status == 200;
    }
  }

  /**
   * The request was not sent.
   *
   * @param reason what went wrong
   */
  record NotSent(String reason) implements ClientOutcome {}

  /**
   * The request may have been sent, no whole answer came.
   *
   * @param reason what went wrong
   */
  record NoResponse(String reason) implements ClientOutcome {}
}
