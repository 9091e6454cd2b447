package org.vanillacove.protocol.platform;

import com.google.protobuf.ByteString;
import java.util.List;

/** Outcome of a read. */
public sealed interface ReadOutcome {
  /**
   * Records from the asked offset on, none if the end was reached.
   *
   * @param firstOffset offset of the first record
   * @param records the records in order
   * @param endOffset offset one past the newest record in the log
   */
  record Batch(long firstOffset, List<ByteString> records, long endOffset) implements ReadOutcome {
    /** Copies the records. */
    public Batch {
      records = List.copyOf(records);
    }
  }

  /**
   * The asked offset lies before the oldest record kept.
   *
   * @param oldestOffset oldest offset kept
   */
  record Trimmed(long oldestOffset) implements ReadOutcome {}

  /**
   * The log gave no answer.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements ReadOutcome {}
}
