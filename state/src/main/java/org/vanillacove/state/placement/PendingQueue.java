package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.vanillacove.state.api.PriorityClass;

/** All pending jobs by priority class, team and shape. */
final class PendingQueue {
  /** Maximum number of workers checked for each shape; above it all shapes are unblocked. */
  private static final int MAX_WORKERS_CHECKED = 64;

  /** Queues by priority class and name of the team. */
  private final Map<PriorityClass, Map<String, TeamQueue>> queues =
      new EnumMap<>(PriorityClass.class);

  /** Queues that may have a job that can be placed, by priority class. */
  private final Map<PriorityClass, Set<TeamQueue>> ready = new EnumMap<>(PriorityClass.class);

  /** Shapes of the queued jobs, by key. */
  private final Map<ShapeKey, Shape> shapes = new HashMap<>();

  /** Shapes that fitted on no worker and haven't been unblocked since. */
  private final Set<Shape> blocked = new LinkedHashSet<>();

  PendingQueue() {
    for (PriorityClass priority : PriorityClass.values()) {
      queues.put(priority, new LinkedHashMap<>());
      ready.put(priority, new LinkedHashSet<>());
    }
  }

  /** Adds a job to the lane of its team, priority class and shape. */
  void add(Job job, ShapeKey key, TeamShare team) {
    PriorityClass priority = job.spec().priority();
    TeamQueue queue =
        queues.get(priority).computeIfAbsent(team.name(), name -> new TeamQueue(team, priority));
    Shape shape = shapes.computeIfAbsent(key, Shape::new);
    queue.lane(shape).add(job);
    if (!shape.isBlocked()) {
      ready.get(priority).add(queue);
    }
  }

  /** Returns the queues of a priority class that may have a job that can be placed. */
  Set<TeamQueue> ready(PriorityClass priority) {
    return ready.get(priority);
  }

  /** Returns all queues of a priority class. */
  Iterable<TeamQueue> teamQueues(PriorityClass priority) {
    return queues.get(priority).values();
  }

  /** Excludes a shape from further attempts until a worker gains capacity for it. */
  void block(Shape shape) {
    shape.setBlocked(true);
    blocked.add(shape);
  }

  /** Unblocks the shapes that may fit on one of the workers that gained free capacity. */
  void unblockFitting(List<WorkerState> workers) {
    if (blocked.isEmpty() || workers.isEmpty()) {
      return;
    }
    List<Shape> unblocked = new ArrayList<>();
    for (Shape shape : blocked) {
      if (workers.size() > MAX_WORKERS_CHECKED || workers.stream().anyMatch(shape::mayFit)) {
        unblocked.add(shape);
      }
    }
    unblocked.forEach(this::unblock);
  }

  /** Unblocks all shapes. */
  void unblockAll() {
    List.copyOf(blocked).forEach(this::unblock);
  }

  /** Enables the lanes of a team again after its quota or its allocation changed. */
  void quotaChanged(TeamShare team) {
    for (PriorityClass priority : PriorityClass.values()) {
      TeamQueue queue = queues.get(priority).get(team.name());
      if (queue != null) {
        queue.quotaChanged();
        ready.get(priority).add(queue);
      }
    }
  }

  /** Removes lanes and shapes without pending jobs. */
  void removeEmpty() {
    for (Map<String, TeamQueue> byTeam : queues.values()) {
      byTeam.values().forEach(TeamQueue::removeEmpty);
    }
    shapes.values().removeIf(shape -> shape.lanes().isEmpty());
    blocked.removeIf(shape -> shape.lanes().isEmpty());
  }

  private void unblock(Shape shape) {
    shape.setBlocked(false);
    blocked.remove(shape);
    for (Lane lane : shape.lanes()) {
      ready.get(lane.queue().priority()).add(lane.queue());
    }
  }
}
