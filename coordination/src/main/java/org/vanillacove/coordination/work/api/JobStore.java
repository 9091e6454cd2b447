package org.vanillacove.coordination.work.api;

import java.util.List;
import java.util.function.Consumer;

/** Stores the durable records of jobs; only one leader at a time can write. */
@FunctionalInterface
public interface JobStore {
  /**
   * Appends all records or none, in one atomic write.
   *
   * @param sequence number of this append in the leader's term, from 0 without gaps; an append may
   *     be repeated with the same number and records up to five appends later and takes effect once
   * @param records records to append
   * @param done called once with the outcome, on the scheduling thread
   */
  void append(int sequence, List<KeyedRecord> records, Consumer<Outcome> done);

  /** Outcome of an append, as far as it is known. */
  enum Outcome {
    /** The records are durable. */
    STORED,
    /** Nothing was stored. */
    NOT_STORED,
    /** An append with a lower number hasn't arrived yet; nothing was stored. */
    OUT_OF_ORDER,
    /** The records may be durable now or become so later. */
    UNKNOWN,
    /** A newer leader writes; nothing was stored and nothing will be. */
    FENCED
  }
}
