package org.vanillacove.coordination.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vanillacove.state.api.HostSpec;

/** Assigns keys to hosts by rendezvous hashing. */
final class RendezvousHashing {
  private RendezvousHashing() {}

  /** Returns the hosts ordered by preference for a key, most preferred first. */
  static List<HostSpec> rank(String key, List<HostSpec> hosts) {
    return hosts.stream()
        .sorted(
            Comparator.comparingLong((HostSpec host) -> weight(key, host.id()))
                .reversed()
                .thenComparing(HostSpec::id))
        .toList();
  }

  /** Returns the hosts of a region, or all hosts if the region has none. */
  static List<HostSpec> hostsOfRegionOrAll(String region, List<HostSpec> hosts) {
    List<HostSpec> inRegion =
        hosts.stream().filter(host -> host.zone().region().equals(region)).toList();
    return inRegion.isEmpty() ? hosts : inRegion;
  }

  /**
   * Assigns each key to a host: the most preferred one that has less than an even share of the
   * keys, rounded up. The keys are processed in sorted order so that all hosts compute the same
   * result.
   */
  static Map<String, String> assignEvenly(Collection<String> keys, List<HostSpec> hosts) {
    Map<String, String> assigned = new HashMap<>();
    Map<String, Integer> counts = new HashMap<>();
    for (String key : keys.stream().sorted().toList()) {
      rank(key, hosts).stream()
          .map(HostSpec::id)
          .filter(id -> counts.getOrDefault(id, 0) * hosts.size() < keys.size())
          .findFirst()
          .ifPresent(
              id -> {
                counts.merge(id, 1, Integer::sum);
                assigned.put(key, id);
              });
    }
    return assigned;
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
