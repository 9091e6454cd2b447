package org.vanillacove.coordination.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.vanillacove.state.api.HostSpec;

/** Rendezvous hashing of keys over hosts. */
final class OwnerRing {
  private OwnerRing() {}

  /** Returns the hosts in order of preference for a key. */
  static List<HostSpec> order(String key, List<HostSpec> hosts) {
    return hosts.stream()
        .sorted(
            Comparator.comparingLong((HostSpec host) -> weight(key, host.id()))
                .reversed()
                .thenComparing(HostSpec::id))
        .toList();
  }

  /** Returns the hosts for a backend server: those of its region if there are any. */
  static List<HostSpec> order(String key, String region, List<HostSpec> hosts) {
    List<HostSpec> near =
        hosts.stream().filter(host -> host.zone().region().equals(region)).toList();
    return order(key, near.isEmpty() ? hosts : near);
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
