package org.vanillacove.state.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.PriorityClass;

/** Waiting jobs of one team in one priority class. */
final class TeamQueue {
  /** Share of the team. */
  private final TeamShare team;

  /** Priority class of the jobs. */
  private final PriorityClass priority;

  /** Lanes by shape. */
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

  /** Returns the lane of a shape, created if needed. */
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

  /** Returns the lane whose first job comes first among those that may fit. */
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

  /** Returns the waiting job that comes first, whether it may fit or not. */
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

  /** Forgets lanes that nothing waits in. */
  void sweep() {
    lanes.values().removeIf(lane -> lane.first().isEmpty() && lane.shape().lanes().remove(lane));
  }

  /** Lets lanes be tried again after the team gave back quota or got more. */
  void quotaChanged() {
    for (Lane lane : lanes.values()) {
      lane.setOverQuota(false);
    }
  }
}
