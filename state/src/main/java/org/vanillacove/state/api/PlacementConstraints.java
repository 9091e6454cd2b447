package org.vanillacove.state.api;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Restrictions on the workers that may run a task; an empty set allows every value.
 *
 * @param regions allowed regions
 * @param zones allowed availability zones
 * @param racks allowed racks
 * @param labels labels that a worker must carry
 * @param acceleratorKind kind of accelerator, empty if any kind is allowed
 */
public record PlacementConstraints(
    Set<String> regions,
    Set<String> zones,
    Set<String> racks,
    Map<String, String> labels,
    Optional<String> acceleratorKind) {
  /** Allows every worker. */
  public static final PlacementConstraints ANY =
      new PlacementConstraints(Set.of(), Set.of(), Set.of(), Map.of(), Optional.empty());

  /** Makes immutable copies of the collections. */
  public PlacementConstraints {
    regions = Set.copyOf(regions);
    zones = Set.copyOf(zones);
    racks = Set.copyOf(racks);
    labels = Map.copyOf(labels);
  }

  /** Returns whether {@code worker} satisfies every constraint; capacity is not checked. */
  public boolean allows(WorkerSpec worker) {
    return (regions.isEmpty() || regions.contains(worker.zone().region()))
        && (zones.isEmpty() || zones.contains(worker.zone().name()))
        && (racks.isEmpty() || racks.contains(worker.rack()))
        && worker.labels().entrySet().containsAll(labels.entrySet())
        && (acceleratorKind.isEmpty() || acceleratorKind.equals(worker.acceleratorKind()));
  }
}
