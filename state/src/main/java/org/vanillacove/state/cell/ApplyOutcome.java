package org.vanillacove.state.cell;

/** Outcome of applying a record to the cell state. */
public sealed interface ApplyOutcome {
  /** The record was valid and is reflected in the state. */
  record Applied() implements ApplyOutcome {}

  /** The record repeats one that was already applied; it changed nothing. */
  record Duplicate() implements ApplyOutcome {}

  /**
   * The record carries another epoch than the current one; it changed nothing.
   *
   * @param currentEpoch leadership epoch in force
   */
  record StaleEpoch(long currentEpoch) implements ApplyOutcome {}

  /**
   * The record is not valid in the current state; it changed nothing.
   *
   * @param field invalid field or violated constraint
   * @param reason why it is invalid
   */
  record Invalid(String field, String reason) implements ApplyOutcome {}

  /**
   * A configuration change was based on a version that is not in force.
   *
   * @param inForce configuration in force
   */
  record Conflict(ConfigurationEntry inForce) implements ApplyOutcome {}
}
