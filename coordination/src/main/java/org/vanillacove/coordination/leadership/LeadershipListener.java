package org.vanillacove.coordination.leadership;

/** Learns when this host begins and ceases to lead. */
public interface LeadershipListener {
  /** Takes note that this host leads from the record at {@code claimOffset} on. */
  void lead(long epoch, long claimOffset);

  /** Takes note that another host leads or that the state was loaded anew. */
  void stepDown();
}
