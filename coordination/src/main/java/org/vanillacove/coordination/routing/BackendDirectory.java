package org.vanillacove.coordination.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.vanillacove.protocol.platform.ListedHost;

/** Caches the backend servers on the platform's list; thread-safe. */
final class BackendDirectory {
  /** Supplies the newest list of hosts of all roles. */
  private final Supplier<List<ListedHost>> source;

  /** Backend servers by identifier as of the last refresh. */
  private volatile Map<String, ListedHost> backends = Map.of();

  /** The same backend servers, in the order of the platform's list. */
  private volatile List<ListedHost> listOrder = List.of();

  BackendDirectory(Supplier<List<ListedHost>> source) {
    this.source = source;
    refresh();
  }

  /** Reloads the backend servers from the platform's list. */
  void refresh() {
    Map<String, ListedHost> fresh = new LinkedHashMap<>();
    for (ListedHost host : source.get()) {
      if (host.role() == ListedHost.Role.BACKEND) {
        fresh.put(host.id(), host);
      }
    }
    backends = fresh;
    listOrder = List.copyOf(fresh.values());
  }

  /** Returns all listed backend servers, including those that are leaving. */
  List<ListedHost> listed() {
    return listOrder;
  }

  /** Returns a backend server, empty if it is not listed. */
  Optional<ListedHost> find(String backendId) {
    return Optional.ofNullable(backends.get(backendId));
  }
}
