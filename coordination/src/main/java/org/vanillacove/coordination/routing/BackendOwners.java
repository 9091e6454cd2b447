package org.vanillacove.coordination.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.HostSpec;

/**
 * Assigns the token of each backend server to a host. The backend servers of a region are spread
 * evenly over its hosts, since a host with few tokens has to borrow most of its slots.
 */
final class BackendOwners {
  /** Backend servers whose tokens are assigned. */
  private final BackendDirectory directory;

  /** Newest assignment, reused while its inputs are unchanged. */
  private volatile Assignment cachedAssignment = new Assignment(List.of(), List.of(), Map.of());

  BackendOwners(BackendDirectory directory) {
    this.directory = directory;
  }

  /**
   * An assignment with the inputs that it was computed from.
   *
   * @param listed backend servers on the platform's list
   * @param hosts hosts that tokens may be assigned to
   * @param owners identifier of the assigned host by identifier of the backend server
   */
  private record Assignment(
      List<ListedHost> listed, List<HostSpec> hosts, Map<String, String> owners) {}

  /** Returns the host that should hold the token of a backend server, empty if it is unlisted. */
  Optional<String> owner(String backendId, List<HostSpec> hosts) {
    List<ListedHost> listed = directory.listed();
    Assignment current = cachedAssignment;
    if (!current.listed().equals(listed) || !current.hosts().equals(hosts)) {
      current = new Assignment(listed, List.copyOf(hosts), assign(listed, hosts));
      cachedAssignment = current;
    }
    return Optional.ofNullable(current.owners().get(backendId));
  }

  private static Map<String, String> assign(List<ListedHost> listed, List<HostSpec> hosts) {
    Map<String, List<String>> byRegion = new HashMap<>();
    for (ListedHost backend : listed) {
      byRegion
          .computeIfAbsent(backend.zone().region(), region -> new ArrayList<>())
          .add(backend.id());
    }
    Map<String, String> owners = new HashMap<>();
    byRegion.forEach(
        (region, backendIds) ->
            owners.putAll(
                RendezvousHashing.assignEvenly(
                    backendIds, RendezvousHashing.hostsOfRegionOrAll(region, hosts))));
    return owners;
  }
}
