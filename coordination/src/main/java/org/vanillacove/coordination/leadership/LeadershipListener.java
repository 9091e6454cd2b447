package org.vanillacove.coordination.leadership;

/** Is notified when this host becomes leader and when it steps down. */
public interface LeadershipListener {
  /** Called when this host's claim at {@code claimOffset} made it leader of {@code epoch}. */
  void lead(long epoch, long claimOffset);

  /** Called when a later claim was applied or the state was reloaded from a snapshot. */
  void stepDown();
}
