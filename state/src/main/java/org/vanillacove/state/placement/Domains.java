package org.vanillacove.state.placement;

import java.util.Set;
import org.vanillacove.state.api.PlacementConstraints;

/** Narrows constraints to a failure domain. */
final class Domains {
  private Domains() {}

  /** Returns {@code all} narrowed to a zone that they allow. */
  static PlacementConstraints inZone(PlacementConstraints all, String zone) {
    return new PlacementConstraints(
        all.regions(), Set.of(zone), all.racks(), all.labels(), all.acceleratorKind());
  }

  /** Returns {@code all} narrowed to a region that they allow. */
  static PlacementConstraints inRegion(PlacementConstraints all, String region) {
    return new PlacementConstraints(
        Set.of(region), all.zones(), all.racks(), all.labels(), all.acceleratorKind());
  }
}
