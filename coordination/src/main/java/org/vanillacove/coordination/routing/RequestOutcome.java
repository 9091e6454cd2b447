package org.vanillacove.coordination.routing;

/** Outcome of an attempt to run a request on a backend server. */
public sealed interface RequestOutcome {
  /**
   * The backend server responded.
   *
   * @param status HTTP status of the response
   */
  record Answered(int status) implements RequestOutcome {}

  /**
   * The request did not run and will not run.
   *
   * @param reason explanation for the guest
   */
  record NotRun(String reason) implements RequestOutcome {}

  /**
   * It is unknown whether the request ran.
   *
   * @param reason failure that left the outcome unknown
   */
  record Unknown(String reason) implements RequestOutcome {}
}
