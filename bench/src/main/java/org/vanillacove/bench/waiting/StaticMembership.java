package org.vanillacove.bench.waiting;

import java.util.List;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.state.api.HostSpec;

/**
 * A membership in which every host stays.
 *
 * @param self this host
 * @param agreedHosts all hosts
 */
public record SettledMembership(HostSpec self, List<HostSpec> agreedHosts) implements Membership {
  @Override
  public boolean isReachable(String hostId) {
    return true;
  }

  @Override
  public boolean hasStanding() {
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
    // Nothing ever changes.
  }
}
