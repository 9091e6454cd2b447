package org.vanillacove.state.api;

import java.util.Map;
import java.util.Optional;

/**
 * A worker as the platform lists it.
 *
 * @param id unique identifier
 * @param address network address as host:port, by IP number
 * @param zone availability zone
 * @param rack rack, unique in the cell
 * @param capacity resources that tasks may be committed to
 * @param acceleratorKind kind of its accelerators, empty if it has none
 * @param labels labels that constraints may name
 */
public record WorkerSpec(
    String id,
    String address,
    AvailabilityZone zone,
    String rack,
    Resources capacity,
    Optional<String> acceleratorKind,
    Map<String, String> labels) {
  /** Copies the labels. */
  public WorkerSpec {
    labels = Map.copyOf(labels);
  }
}
