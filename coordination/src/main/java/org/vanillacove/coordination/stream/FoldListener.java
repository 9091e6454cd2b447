package org.vanillacove.coordination.stream;

import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.FoldOutcome;

/** Learns what was folded, in order of offsets. */
public interface FoldListener {
  /** Takes note of a folded record. */
  void folded(long offset, RecordEnvelope envelope, FoldOutcome outcome);

  /** Takes note that the state was replaced as a whole, from a snapshot. */
  void reloaded();
}
