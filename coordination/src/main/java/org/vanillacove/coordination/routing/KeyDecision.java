package org.vanillacove.coordination.routing;

/** Decision whether a request with an idempotency key may run. */
public sealed interface KeyDecision {
  /** The request is the first with its key and may run. */
  record First() implements KeyDecision {}

  /** A request with this key has already run. */
  record AlreadyRun() implements KeyDecision {}

  /**
   * A request with this key is running or may have run, or this is a repeated attempt without a
   * record of the first one. The request must not run.
   *
   * @param reason which of these cases applies, as an explanation for the guest
   */
  record Undecided(String reason) implements KeyDecision {}

  /**
   * The owner of the key cannot be reached; the request was not run.
   *
   * @param reason explanation for the guest
   */
  record Unavailable(String reason) implements KeyDecision {}
}
