package org.vanillacove.coordination.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.HostSpec;

/**
 * Says which host should hold the token of each backend server. The backend servers of a region are
 * spread evenly over its hosts, since a host with few tokens borrows most of its slots.
 */
final class BackendOwners {
  /** Backend servers. */
  private final BackendDirectory directory;

  /** Newest result. */
  private volatile Assignment cachedAssignment = new Assignment(List.of(), List.of(), Map.of());

  BackendOwners(BackendDirectory directory) {
    this.directory = directory;
  }

  /**
   * Owners and what they follow from.
   *
   * @param listed backend servers
   * @param hosts hosts
   * @param owners identifiers of hosts by backend server
   */
  private record Assignment(
      List<ListedHost> listed, List<HostSpec> hosts, Map<String, String> owners) {}

  /** Returns the host of {@code hosts} that should hold the token of a listed backend server. */
  Optional<String> owner(String backendId, List<HostSpec> hosts) {
    List<ListedHost> listed = directory.listed();
    Assignment known = cachedAssignment;
    if (!known.listed().equals(listed) || !known.hosts().equals(hosts)) {
      known = new Assignment(listed, List.copyOf(hosts), assign(listed, hosts));
      cachedAssignment = known;
    }
    return Optional.ofNullable(known.owners().get(backendId));
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
