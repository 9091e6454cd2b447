package org.vanillacove.coordination.work.api;

import java.util.List;
import java.util.function.Consumer;

/** Durable records of jobs, written by one leader at a time. */
@FunctionalInterface
public interface JobStore {
  /**
   * Appends all records or none.
   *
   * @param sequence number of this append in the leader's term, from 0 without gaps; the same
   *     number with the same records may be sent again and takes effect once, up to five appends
   *     later
   * @param records what to append
   * @param done called once on the scheduling thread
   */
  void append(int sequence, List<KeyedRecord> records, Consumer<Outcome> done);

  /** What is known of an append. */
  enum Outcome {
    /** The records are durable. */
    STORED,
    /** Nothing was done. */
    NOT_STORED,
    /** An append with a lower number has not come yet; nothing was done. */
    OUT_OF_ORDER,
    /** The records may be durable, now or later. */
    UNKNOWN,
    /** A newer leader writes; nothing was done and nothing will be. */
    FENCED
  }
}
