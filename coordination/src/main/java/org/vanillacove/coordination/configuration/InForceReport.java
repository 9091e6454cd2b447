package org.vanillacove.coordination.configuration;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Which host has which configuration version in force.
 *
 * @param version version that is waited for
 * @param versions versions in force of the hosts that answered, by host
 * @param silent hosts that did not answer
 * @param elapsedMillis how long was waited, in milliseconds
 */
public record InForceReport(
    long version, Map<String, Long> versions, List<String> silent, long elapsedMillis) {
  /** Copies the collections. */
  public InForceReport {
    versions = Map.copyOf(versions);
    silent = List.copyOf(silent);
  }

  /** Returns the hosts that answered with an older version, with that version. */
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

  /** Returns whether every host answered and none is behind. */
  public boolean isComplete() {
    return silent.isEmpty() && lagging().isEmpty();
  }
}
