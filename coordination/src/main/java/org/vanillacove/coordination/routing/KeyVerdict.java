package org.vanillacove.coordination.routing;

/** What the register says to a request with an idempotency key. */
public sealed interface KeyVerdict {
  /** The request is the first with its key and may run. */
  record First() implements KeyVerdict {}

  /** A request with this key ran. */
  record AlreadyRun() implements KeyVerdict {}

  /**
   * A request with this key runs, may have run, or is not on record; it must not run again.
   *
   * @param reason which of these
   */
  record Undecided(String reason) implements KeyVerdict {}

  /**
   * The owner of the key cannot be asked; nothing ran.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements KeyVerdict {}
}
