package org.vanillacove.protocol.platform;

/** Outcome of an append. */
public sealed interface AppendOutcome {
  /**
   * The records are in the log.
   *
   * @param firstOffset offset of the first record, the rest follow it
   */
  record Appended(long firstOffset) implements AppendOutcome {}

  /**
   * The records are certainly not in the log.
   *
   * @param reason why
   */
  record Refused(String reason) implements AppendOutcome {}

  /**
   * Whether the records are in the log is not known.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements AppendOutcome {}
}
