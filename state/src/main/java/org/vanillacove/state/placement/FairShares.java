package org.vanillacove.state.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Resources;

/**
 * Shares of all teams.
 *
 * <p>A team may borrow idle capacity beyond its quota for tasks that can be stopped. The weight of
 * a team is the dominant share of its quota; a team without a quota weighs as much as the mean.
 */
final class FairShares {
  /** Teams by name. */
  private final Map<String, TeamShare> teams = new LinkedHashMap<>();

  /** Policy values in force. */
  private PlacementSettings settings = PlacementSettings.DEFAULTS;

  /** Capacity that shares refer to. */
  private Resources capacity = Resources.NONE;

  /** Returns a team, created if needed. */
  TeamShare team(String name) {
    TeamShare team = teams.get(name);
    if (team == null) {
      team = new TeamShare(name);
      teams.put(name, team);
      weigh(team);
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
    teams.values().forEach(this::weigh);
  }

  void setCapacity(Resources capacity) {
    if (!this.capacity.equals(capacity)) {
      this.capacity = capacity;
      teams.values().forEach(this::weigh);
    }
  }

  /** Counts what all teams hold into their past. */
  void count(long nowMillis) {
    for (TeamShare team : teams.values()) {
      team.count(nowMillis, settings.fairShareHalfLifeMillis(), capacity);
    }
  }

  /** Counts what one team holds into its past, before that changes. */
  void count(TeamShare team, long nowMillis) {
    team.count(nowMillis, settings.fairShareHalfLifeMillis(), capacity);
  }

  private void weigh(TeamShare team) {
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
