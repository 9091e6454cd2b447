package org.vanillacove.state.placement;

import java.util.Set;
import org.vanillacove.state.api.PlacementConstraints;

/** Narrows placement constraints to one failure domain. */
final class NarrowedConstraints {
  private NarrowedConstraints() {}

  /** Returns {@code all} restricted to one availability zone, which they must allow. */
  static PlacementConstraints inZone(PlacementConstraints all, String zone) {
    return new PlacementConstraints(
        all.regions(), Set.of(zone), all.racks(), all.labels(), all.acceleratorKind());
  }

  /** Returns {@code all} restricted to one region, which they must allow. */
  static PlacementConstraints inRegion(PlacementConstraints all, String region) {
    return new PlacementConstraints(
        Set.of(region), all.zones(), all.racks(), all.labels(), all.acceleratorKind());
  }
}
