package org.vanillacove.state.api;

import java.util.Map;
import java.util.Optional;

/**
 * A worker as described by the platform's worker list.
 *
 * @param id unique identifier
 * @param address network address as host:port, by IP address
 * @param zone availability zone
 * @param rack name of its rack, unique in the cell
 * @param capacity resources that tasks may be committed to
 * @param acceleratorKind kind of its accelerators, empty if it has none
 * @param labels labels that placement constraints refer to
 */
public record WorkerSpec(
    String id,
    String address,
    AvailabilityZone zone,
    String rack,
    Resources capacity,
    Optional<String> acceleratorKind,
    Map<String, String> labels) {
  /** Makes an immutable copy of the labels. */
  public WorkerSpec {
    labels = Map.copyOf(labels);
  }
}
