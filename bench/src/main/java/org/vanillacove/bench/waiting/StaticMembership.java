package org.vanillacove.bench.waiting;

import java.util.List;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.state.api.HostSpec;

/**
 * Membership with a fixed list of hosts that are always reachable.
 *
 * @param self this host
 * @param agreedHosts all hosts of the cell
 */
public record StaticMembership(HostSpec self, List<HostSpec> agreedHosts) implements Membership {
  @Override
  public boolean isReachable(String hostId) {
    return true;
  }

  @Override
  public boolean hasHostLease() {
    return true;
  }

  @Override
  public long epoch() {
    return 1;
  }

  @Override
  public boolean isLeader() {
    return false;
  }

  @Override
  public void onChange(Runnable listener) {
    // The membership never changes.
  }
}
