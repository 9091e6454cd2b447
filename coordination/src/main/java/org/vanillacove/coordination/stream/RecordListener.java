package org.vanillacove.coordination.stream;

import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.ApplyOutcome;

/** Listener that is notified of each record applied to the cell state, in order of offsets. */
public interface RecordListener {
  /** Called after a record was applied; {@code outcome} says whether it took effect. */
  void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome);

  /** Called after the whole state was replaced, usually from a snapshot. */
  void stateReplaced();
}
