package org.vanillacove.coordination.api;

import java.util.List;
import org.vanillacove.state.api.HostSpec;

/** A host's view of the agreed membership, of the leader and of its own host lease. */
public interface Membership {
  /** Returns identifier, address and availability zone of this host. */
  HostSpec self();

  /** Returns the members, sorted by identifier; includes this host once it has joined. */
  List<HostSpec> agreedHosts();

  /** Returns whether a host's heartbeats reach this host. */
  boolean isReachable(String hostId);

  /** Returns whether this host's lease lets it renew workers' leases and use its slots now. */
  boolean hasHostLease();

  /** Returns the highest leadership epoch known. */
  long epoch();

  /** Returns whether this host is the leader now. */
  boolean isLeader();

  /** Runs {@code listener} after each change of a value that this interface returns. */
  void onChange(Runnable listener);
}
