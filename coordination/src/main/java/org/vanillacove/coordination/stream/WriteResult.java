package org.vanillacove.coordination.stream;

import org.vanillacove.state.cell.FoldOutcome;

/** What became of a record that was to be written. */
public sealed interface WriteResult {
  /**
   * The record is in the log and was folded.
   *
   * @param offset offset of the record
   * @param outcome what became of it
   */
  record Folded(long offset, FoldOutcome outcome) implements WriteResult {
    /** Returns whether the record counted. */
    public boolean isApplied() {
      return outcome instanceof FoldOutcome.Applied;
    }
  }

  /**
   * The record is not in the log and will not get there.
   *
   * @param reason why
   */
  record NotAccepted(String reason) implements WriteResult {}

  /**
   * The record may be in the log or get there later.
   *
   * @param proposalId its identifier
   * @param reason what went wrong
   */
  record Unknown(String proposalId, String reason) implements WriteResult {}
}
