package org.vanillacove.state.api;

import java.util.Map;

/**
 * Policy values of placement.
 *
 * @param teamQuotas resources each team may hold by right
 * @param fairShareHalfLifeMillis half-life of past use in milliseconds
 * @param maxPreemptionsPerTask times one task may be preempted
 */
public record PlacementSettings(
    Map<String, Resources> teamQuotas, long fairShareHalfLifeMillis, int maxPreemptionsPerTask) {
  /** Values in force before any configuration was seen. */
  public static final PlacementSettings DEFAULTS = new PlacementSettings(Map.of(), 3_600_000, 2);

  /** Copies the quotas. */
  public PlacementSettings {
    teamQuotas = Map.copyOf(teamQuotas);
  }
}
