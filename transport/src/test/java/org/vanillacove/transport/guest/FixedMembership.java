package org.vanillacove.transport.guest;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.state.api.HostSpec;

/** A membership whose hosts and host lease are set by tests. */
final class FixedMembership implements Membership {
  private final HostSpec self;
  private final Set<String> unreachable = ConcurrentHashMap.newKeySet();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile List<HostSpec> hosts;
  private volatile boolean hostLease = true;

  FixedMembership(HostSpec self, List<HostSpec> hosts) {
    this.self = self;
    this.hosts = hosts;
  }

  void setHosts(List<HostSpec> next) {
    hosts = next;
    listeners.forEach(Runnable::run);
  }

  void setHostLease(boolean next) {
    hostLease = next;
  }

  void setUnreachable(String hostId) {
    unreachable.add(hostId);
  }

  @Override
  public HostSpec self() {
    return self;
  }

  @Override
  public List<HostSpec> agreedHosts() {
    return hosts;
  }

  @Override
  public boolean isReachable(String hostId) {
    return !unreachable.contains(hostId);
  }

  @Override
  public boolean hasHostLease() {
    return hostLease;
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
    listeners.add(listener);
  }
}
