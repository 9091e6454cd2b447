package org.vanillacove.coordination.routing;

/** Outcome of an attempt to run a request on a backend server. */
public sealed interface RequestOutcome {
  /**
   * The backend server answered.
   *
   * @param status HTTP status of the answer
   */
  record Answered(int status) implements RequestOutcome {}

  /**
   * The request certainly did not run and will not.
   *
   * @param reason why
   */
  record NotRun(String reason) implements RequestOutcome {}

  /**
   * Whether the request ran is not known.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements RequestOutcome {}
}
