package org.vanillacove.protocol.platform;

/** Outcome of an append to the platform log. */
public sealed interface AppendOutcome {
  /**
   * The records are durable in the log.
   *
   * @param firstOffset offset of the first record; the others follow consecutively
   */
  record Appended(long firstOffset) implements AppendOutcome {}

  /**
   * The records were refused and are certainly not in the log.
   *
   * @param reason why the append was refused
   */
  record Refused(String reason) implements AppendOutcome {}

  /**
   * The outcome is unknown: the records may or may not be in the log.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements AppendOutcome {}
}
