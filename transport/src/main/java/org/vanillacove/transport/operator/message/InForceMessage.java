package org.vanillacove.transport.operator.message;

import java.util.List;
import java.util.Map;

/**
 * Which host has which configuration version in force.
 *
 * @param version version that is waited for
 * @param complete whether every live host has it in force
 * @param versions versions in force by host
 * @param lagging hosts with an older version, with that version
 * @param silent hosts that did not answer
 * @param elapsedMillis how long was waited, in milliseconds
 */
public record InForceMessage(
    long version,
    boolean complete,
    Map<String, Long> versions,
    Map<String, Long> lagging,
    List<String> silent,
    long elapsedMillis) {
  /** Copies the collections. */
  public InForceMessage {
    versions = Map.copyOf(versions);
    lagging = Map.copyOf(lagging);
    silent = List.copyOf(silent);
  }
}
