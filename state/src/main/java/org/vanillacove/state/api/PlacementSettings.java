package org.vanillacove.state.api;

import java.util.Map;

/**
 * Policy settings of the placer.
 *
 * @param teamQuotas resources that each team is entitled to, by team
 * @param fairShareHalfLifeMillis half-life of past usage in the fair share, in milliseconds
 * @param maxPreemptionsPerTask maximum number of times that one task is preempted
 */
public record PlacementSettings(
    Map<String, Resources> teamQuotas, long fairShareHalfLifeMillis, int maxPreemptionsPerTask) {
  /** Settings in force until the first configuration is applied. */
  public static final PlacementSettings DEFAULTS = new PlacementSettings(Map.of(), 3_600_000, 2);

  /** Makes an immutable copy of the quotas. */
  public PlacementSettings {
    teamQuotas = Map.copyOf(teamQuotas);
  }
}
