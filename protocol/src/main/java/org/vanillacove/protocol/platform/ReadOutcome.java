package org.vanillacove.protocol.platform;

import com.google.protobuf.ByteString;
import java.util.List;

/** Outcome of a read from the platform log. */
public sealed interface ReadOutcome {
  /**
   * Records from the requested offset on, none at the end of the log.
   *
   * @param firstOffset offset of the first record
   * @param records the records in order
   * @param endOffset offset one past the newest record in the log
   */
  record Batch(long firstOffset, List<ByteString> records, long endOffset) implements ReadOutcome {
    /** Makes an immutable copy of the records. */
    public Batch {
      records = List.copyOf(records);
    }
  }

  /**
   * The requested offset is older than the oldest retained record.
   *
   * @param oldestOffset offset of the oldest retained record
   */
  record Trimmed(long oldestOffset) implements ReadOutcome {}

  /**
   * The log did not respond.
   *
   * @param reason what went wrong
   */
  record Unavailable(String reason) implements ReadOutcome {}
}
