package org.vanillacove.state.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.PriorityClass;

/** Pending jobs of one team in one priority class, divided into lanes by shape. */
final class TeamQueue {
  /** Quota and usage of the team. */
  private final TeamShare team;

  /** Priority class of all jobs in this queue. */
  private final PriorityClass priority;

  /** Lanes by shape, in order of creation. */
  private final Map<Shape, Lane> lanes = new LinkedHashMap<>();

  TeamQueue(TeamShare team, PriorityClass priority) {
    this.team = team;
    this.priority = priority;
  }

  TeamShare team() {
    return team;
  }

  PriorityClass priority() {
    return priority;
  }

  /** Returns the lane of a shape, created if absent. */
  Lane lane(Shape shape) {
    return lanes.computeIfAbsent(
        shape,
        s -> {
          Lane lane = new Lane(this, s);
          s.lanes().add(lane);
          return lane;
        });
  }

  Iterable<Lane> lanes() {
    return lanes.values();
  }

  /** Returns the lane with the lowest-ranked job among those neither blocked nor over quota. */
  Optional<Lane> next() {
    Lane best = null;
    Job bestJob = null;
    for (Iterator<Lane> all = lanes.values().iterator(); all.hasNext(); ) {
      Lane lane = all.next();
      if (lane.shape().isBlocked() || lane.isOverQuota()) {
        continue;
      }
      Optional<Job> first = lane.first();
      if (first.isEmpty()) {
        all.remove();
        lane.shape().lanes().remove(lane);
      } else if (bestJob == null || first.get().compareRank(bestJob) < 0) {
        best = lane;
        bestJob = first.get();
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the pending job with the lowest rank, including blocked ones. */
  Optional<Job> head() {
    Job best = null;
    for (Lane lane : lanes.values()) {
      Optional<Job> first = lane.first();
      if (first.isPresent() && (best == null || first.get().compareRank(best) < 0)) {
        best = first.get();
      }
    }
    return Optional.ofNullable(best);
  }

  /** Removes lanes without pending jobs. */
  void removeEmpty() {
    lanes.values().removeIf(lane -> lane.first().isEmpty() && lane.shape().lanes().remove(lane));
  }

  /** Clears the over-quota marks of all lanes after the quota or the allocation changed. */
  void quotaChanged() {
    for (Lane lane : lanes.values()) {
      lane.setOverQuota(false);
    }
  }
}
