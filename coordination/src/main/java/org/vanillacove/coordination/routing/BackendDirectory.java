package org.vanillacove.coordination.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.vanillacove.protocol.platform.ListedHost;

/** Backend servers on the platform's list, refreshed often; thread-safe. */
final class BackendDirectory {
  /** Gives the newest list. */
  private final Supplier<List<ListedHost>> source;

  /** Backend servers by identifier at the last refresh. */
  private volatile Map<String, ListedHost> backends = Map.of();

  /** The same backend servers in order of the list. */
  private volatile List<ListedHost> inOrder = List.of();

  BackendDirectory(Supplier<List<ListedHost>> source) {
    this.source = source;
    refresh();
  }

  /** Reads the list anew. */
  void refresh() {
    Map<String, ListedHost> fresh = new LinkedHashMap<>();
    for (ListedHost host : source.get()) {
      if (host.role() == ListedHost.Role.BACKEND) {
        fresh.put(host.id(), host);
      }
    }
    backends = fresh;
    inOrder = List.copyOf(fresh.values());
  }

  /** Returns all listed backend servers, also those that leave. */
  List<ListedHost> listed() {
    return inOrder;
  }

  /** Returns a backend server. */
  Optional<ListedHost> find(String backendId) {
    return Optional.ofNullable(backends.get(backendId));
  }
}
