package org.vanillacove.coordination.stream;

import org.vanillacove.state.cell.ApplyOutcome;

/** Outcome of writing a record to the log. */
public sealed interface WriteResult {
  /**
   * The record is in the log and was applied to the cell state.
   *
   * @param offset offset of the record
   * @param outcome effect of the record on the cell state
   */
  record Committed(long offset, ApplyOutcome outcome) implements WriteResult {
    /** Returns whether the record took effect. */
    public boolean isApplied() {
      return outcome instanceof ApplyOutcome.Applied;
    }
  }

  /**
   * The record is not in the log and will not be appended later.
   *
   * @param reason why the record was not accepted
   */
  record NotAccepted(String reason) implements WriteResult {}

  /**
   * The outcome is unknown: the record may be in the log or be appended later.
   *
   * @param proposalId identifier of the record
   * @param reason why the outcome is unknown
   */
  record Unknown(String proposalId, String reason) implements WriteResult {}
}
