package org.vanillacove.coordination.work;

import java.util.BitSet;

/**
 * One run of a gang, from its first start command. The members wait at their workers until all of
 * them are present; before that none does any work.
 */
final class GangRun {
  /** Run number, the same for all members. */
  private final int number;

  /** Number of members. */
  private final int size;

  /** Monotonic time at which this leader started or found the run, in milliseconds. */
  private final long sinceMillis;

  /** Indexes of the members that a worker confirmed. */
  private final BitSet present = new BitSet();

  /** Whether all members were present at some time. */
  private boolean complete;

  /** Whether a member is gone, so that the run is over for all members. */
  private boolean over;

  /** Creates a run of which no member is confirmed. */
  GangRun(int number, int size, long sinceMillis) {
    this.number = number;
    this.size = size;
    this.sinceMillis = sinceMillis;
  }

  int number() {
    return number;
  }

  int size() {
    return size;
  }

  long sinceMillis() {
    return sinceMillis;
  }

  int presentMembers() {
    return present.cardinality();
  }

  boolean isComplete() {
    return complete;
  }

  boolean isOver() {
    return over;
  }

  /** Records that a worker confirmed the member; returns whether the run is complete by that. */
  boolean confirm(int member) {
    present.set(member);
    if (complete || present.cardinality() < size) {
      return false;
    }
    complete = true;
    return true;
  }

  /** Records that the members work, which they do only once all are present. */
  void markWorking() {
    complete = true;
  }

  /** Ends the run; returns whether it wasn't over before. */
  boolean end() {
    boolean first = !over;
    over = true;
    return first;
  }
}
