package org.vanillacove.transport.operator.message;

import java.util.List;
import java.util.Map;

/**
 * The configuration version that is in force on each host.
 *
 * @param version version that the request waits for
 * @param complete whether every live host has it in force
 * @param versions versions in force by host
 * @param lagging older versions in force, by host
 * @param silent hosts that did not answer
 * @param elapsedMillis time spent waiting, in milliseconds
 */
public record InForceMessage(
    long version,
    boolean complete,
    Map<String, Long> versions,
    Map<String, Long> lagging,
    List<String> silent,
    long elapsedMillis) {
  /** Makes immutable copies of the collections. */
  public InForceMessage {
    versions = Map.copyOf(versions);
    lagging = Map.copyOf(lagging);
    silent = List.copyOf(silent);
  }
}
