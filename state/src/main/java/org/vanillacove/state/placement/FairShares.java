package org.vanillacove.state.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Resources;

/**
 * Quotas, weights and usage of all teams.
 *
 * <p>A team may borrow idle capacity beyond its quota for preemptible tasks. The weight of a team
 * is the dominant share of its quota; a team without a quota gets the mean weight of the others.
 */
final class FairShares {
  /** Teams by name; a team is added when it is first used and never removed. */
  private final Map<String, TeamShare> teams = new LinkedHashMap<>();

  /** Current settings of the placement policy, with the quotas of the teams. */
  private PlacementSettings settings = PlacementSettings.DEFAULTS;

  /** Total capacity of the cell, of which shares are computed. */
  private Resources capacity = Resources.NONE;

  /** Returns the share of a team, created if absent. */
  TeamShare team(String name) {
    TeamShare team = teams.get(name);
    if (team == null) {
      team = new TeamShare(name);
      teams.put(name, team);
      updateWeight(team);
    }
    return team;
  }

  Iterable<TeamShare> teams() {
    return teams.values();
  }

  PlacementSettings settings() {
    return settings;
  }

  Resources capacity() {
    return capacity;
  }

  void configure(PlacementSettings settings) {
    this.settings = settings;
    teams.values().forEach(this::updateWeight);
  }

  void setCapacity(Resources capacity) {
    if (!this.capacity.equals(capacity)) {
      this.capacity = capacity;
      teams.values().forEach(this::updateWeight);
    }
  }

  /** Updates the average shares of all teams with the time since their last update. */
  void updateAverageShares(long nowMillis) {
    for (TeamShare team : teams.values()) {
      team.updateAverageShare(nowMillis, settings.fairShareHalfLifeMillis(), capacity);
    }
  }

  /** Updates the average share of one team; call this before its allocation changes. */
  void updateAverageShares(TeamShare team, long nowMillis) {
    team.updateAverageShare(nowMillis, settings.fairShareHalfLifeMillis(), capacity);
  }

  private void updateWeight(TeamShare team) {
    Optional<Resources> quota = Optional.ofNullable(settings.teamQuotas().get(team.name()));
    double weight = quota.map(this::share).orElseGet(this::meanShare);
    team.setQuota(quota, Math.max(weight, 1e-9));
  }

  private double share(Resources quota) {
    return TeamShare.dominantShare(quota, capacity);
  }

  private double meanShare() {
    return settings.teamQuotas().values().stream().mapToDouble(this::share).average().orElse(1);
  }
}
