package org.vanillacove.coordination.configuration;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Configuration versions in force on the hosts.
 *
 * @param version version that every host should have in force
 * @param versions version in force on each host that answered, by host identifier
 * @param silent identifiers of the hosts that did not answer
 * @param elapsedMillis time spent on waiting, in milliseconds
 */
public record InForceReport(
    long version, Map<String, Long> versions, List<String> silent, long elapsedMillis) {
  /** Copies the collections. */
  public InForceReport {
    versions = Map.copyOf(versions);
    silent = List.copyOf(silent);
  }

  /** Returns the hosts on which an older version is in force, with that version. */
  public NavigableMap<String, Long> lagging() {
    NavigableMap<String, Long> lagging = new TreeMap<>();
    versions.forEach(
        (host, inForce) -> {
          if (inForce < version) {
            lagging.put(host, inForce);
          }
        });
    return lagging;
  }

  /** Returns whether every host answered and none has an older version in force. */
  public boolean isComplete() {
    return silent.isEmpty() && lagging().isEmpty();
  }
}
