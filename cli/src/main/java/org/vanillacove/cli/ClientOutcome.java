package org.vanillacove.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Outcome of a request to an entry host. */
sealed interface ClientOutcome {
  /**
   * The host responded.
   *
   * @param status HTTP status code
   * @param body body of the response
   */
  record Answered(int status, JsonNode body) implements ClientOutcome {
    /** Returns whether the host completed the request successfully. */
    boolean isSuccess() {
      return status == 200;
    }
  }

  /**
   * The request was certainly not sent.
   *
   * @param reason why not
   */
  record NotSent(String reason) implements ClientOutcome {}

  /**
   * The request may have been sent, but no valid response was received.
   *
   * @param reason the failure
   */
  record NoResponse(String reason) implements ClientOutcome {}
}
