package org.vanillacove.coordination.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vanillacove.state.api.HostSpec;

/** Rendezvous hashing of keys over hosts. */
final class RendezvousHashing {
  private RendezvousHashing() {}

  /** Returns the hosts in order of preference for a key. */
  static List<HostSpec> rank(String key, List<HostSpec> hosts) {
    return hosts.stream()
        .sorted(
            Comparator.comparingLong((HostSpec host) -> weight(key, host.id()))
                .reversed()
                .thenComparing(HostSpec::id))
        .toList();
  }

  /** Returns the hosts of a region, or all if it has none. */
  static List<HostSpec> hostsOfRegionOrAll(String region, List<HostSpec> hosts) {
    List<HostSpec> near =
        hosts.stream().filter(host -> host.zone().region().equals(region)).toList();
    return near.isEmpty() ? hosts : near;
  }

  /**
   * Returns a host for each key: the first in its order of preference that has less than an even
   * share of the keys, rounded up.
   */
  static Map<String, String> assignEvenly(Collection<String> keys, List<HostSpec> hosts) {
    Map<String, String> chosen = new HashMap<>();
    Map<String, Integer> counts = new HashMap<>();
    for (String key : keys.stream().sorted().toList()) {
      rank(key, hosts).stream()
          .map(HostSpec::id)
          .filter(id -> counts.getOrDefault(id, 0) * hosts.size() < keys.size())
          .findFirst()
          .ifPresent(
              id -> {
                counts.merge(id, 1, Integer::sum);
                chosen.put(key, id);
              });
    }
    return chosen;
  }

  private static long weight(String key, String hostId) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(hostId, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
