package org.vanillacove.coordination.api;

import java.util.List;
import org.vanillacove.state.api.HostSpec;

/** What a host knows of the agreed membership and of its own standing. */
public interface Membership {
  /** Returns this host. */
  HostSpec self();

  /** Returns the agreed entry hosts, this one among them once it has joined, by identifier. */
  List<HostSpec> agreedHosts();

  /** Returns whether direct heartbeats say that a host is alive. */
  boolean isReachable(String hostId);

  /** Returns whether this host may renew leases and use its slots now. */
  boolean hasStanding();

  /** Returns the highest leadership epoch known. */
  long epoch();

  /** Returns whether this host leads now. */
  boolean isLeader();

  /** Runs {@code listener} after each change of the above. */
  void onChange(Runnable listener);
}
