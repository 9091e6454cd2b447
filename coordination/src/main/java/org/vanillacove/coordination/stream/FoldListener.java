package org.vanillacove.coordination.stream;

import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.FoldOutcome;

/** Listener that is notified of each record applied to the cell state, in order of offsets. */
public interface FoldListener {
  /** Called after a record was applied; {@code outcome} says whether it took effect. */
  void folded(long offset, RecordEnvelope envelope, FoldOutcome outcome);

  /** Called after the whole state was replaced, usually from a snapshot. */
  void reloaded();
}
