package org.vanillacove.daemon.host;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.vanillacove.protocol.platform.HostList;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.timer.TimerService;

/** Polls the platform's host list and caches its backend servers; thread-safe. */
public final class BackendListPoller implements Supplier<List<ListedHost>>, AutoCloseable {
  /** Host list of the platform. */
  private final HostList list;

  /** Backend servers of the latest successful fetch, empty before the first one. */
  private final AtomicReference<List<ListedHost>> backends = new AtomicReference<>(List.of());

  /** Subscription of the periodic fetch. */
  private final TimerService.Subscription subscription;

  /** Fetches the list immediately and then once every {@code period}. */
  public BackendListPoller(HostList list, TimerService timer, Duration period) {
    this.list = list;
    this.subscription = timer.every(period, this::fetch);
    fetch();
  }

  @Override
  public List<ListedHost> get() {
    return backends.get();
  }

  @Override
  public void close() {
    subscription.cancel();
  }

  private void fetch() {
    list.fetch().thenAccept(fetched -> fetched.ifPresent(this::storeBackends));
  }

  private void storeBackends(List<ListedHost> hosts) {
    backends.set(hosts.stream().filter(host -> host.role() == ListedHost.Role.BACKEND).toList());
  }
}
