package org.vanillacove.coordination.api;

/** Outcome of a change that was proposed to the leader. */
public sealed interface ProposalOutcome {
  /**
   * The change was written to the log and took effect.
   *
   * @param offset offset of its record
   */
  record Accepted(long offset) implements ProposalOutcome {}

  /**
   * The change did not and will not take effect.
   *
   * @param field invalid field or violated constraint, empty if none
   * @param reason why the change was refused
   */
  record Refused(String field, String reason) implements ProposalOutcome {}

  /**
   * The change did not take effect because another version came into force before it.
   *
   * @param inForce version in force
   * @param document document in force
   */
  record Conflict(long inForce, String document) implements ProposalOutcome {}

  /**
   * Unknown outcome: the change may or may not have taken effect, or may yet do so.
   *
   * @param proposalId identifier for a retry or an enquiry
   * @param reason what went wrong
   */
  record Unknown(String proposalId, String reason) implements ProposalOutcome {}
}
