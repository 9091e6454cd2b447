package org.vanillacove.coordination.api;

/** Outcome of a proposed change. */
public sealed interface ProposalOutcome {
  /**
   * The change is in the log and valid.
   *
   * @param offset offset of its record
   */
  record Accepted(long offset) implements ProposalOutcome {}

  /**
   * The change certainly did not and will not take effect.
   *
   * @param field field or constraint at fault, empty if none
   * @param reason why
   */
  record Refused(String field, String reason) implements ProposalOutcome {}

  /**
   * The change lost a race and did not take effect.
   *
   * @param inForce version in force
   * @param document document in force
   */
  record Conflict(long inForce, String document) implements ProposalOutcome {}

  /**
   * Whether the change took or will take effect is not known.
   *
   * @param proposalId identifier to ask again with
   * @param reason what went wrong
   */
  record Unknown(String proposalId, String reason) implements ProposalOutcome {}
}
