package org.vanillacove.state.cell;

/** What became of a record when it was folded. */
public sealed interface FoldOutcome {
  /** The record counted. */
  record Applied() implements FoldOutcome {}

  /** A copy of a record that was folded before; it changed nothing. */
  record Duplicate() implements FoldOutcome {}

  /**
   * The record's epoch is not the current one; it changed nothing.
   *
   * @param currentEpoch epoch in force
   */
  record StaleEpoch(long currentEpoch) implements FoldOutcome {}

  /**
   * The record is not valid against the state; it changed nothing.
   *
   * @param field field or constraint at fault
   * @param reason why
   */
  record Invalid(String field, String reason) implements FoldOutcome {}

  /**
   * A configuration change was based on a version that is not in force.
   *
   * @param inForce configuration in force
   */
  record Conflict(ConfigurationEntry inForce) implements FoldOutcome {}
}
