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

/** All waiting jobs by priority class, team and shape. */
final class PendingQueue {
  /** Workers with new room above which every shape is tried again without a look at them. */
  private static final int MAX_GAINED = 64;

  /** Queues by priority class and team. */
  private final Map<PriorityClass, Map<String, TeamQueue>> queues =
      new EnumMap<>(PriorityClass.class);

  /** Queues that may have something that fits. */
  private final Map<PriorityClass, Set<TeamQueue>> ready = new EnumMap<>(PriorityClass.class);

  /** Shapes in use by key. */
  private final Map<ShapeKey, Shape> shapes = new HashMap<>();

  /** Shapes of which nothing fitted. */
  private final Set<Shape> blocked = new LinkedHashSet<>();

  PendingQueue() {
    for (PriorityClass priority : PriorityClass.values()) {
      queues.put(priority, new LinkedHashMap<>());
      ready.put(priority, new LinkedHashSet<>());
    }
  }

  /** Queues a job under a shape. */
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

  /** Returns the queues of a class that may have something that fits. */
  Set<TeamQueue> ready(PriorityClass priority) {
    return ready.get(priority);
  }

  /** Returns all queues of a class. */
  Iterable<TeamQueue> all(PriorityClass priority) {
    return queues.get(priority).values();
  }

  /** Takes note that nothing of a shape fits now. */
  void block(Shape shape) {
    shape.setBlocked(true);
    blocked.add(shape);
  }

  /** Lets blocked shapes be tried again that may fit on workers which gained room. */
  void roomGained(List<WorkerState> workers) {
    if (blocked.isEmpty() || workers.isEmpty()) {
      return;
    }
    List<Shape> freed = new ArrayList<>();
    for (Shape shape : blocked) {
      if (workers.size() > MAX_GAINED || workers.stream().anyMatch(shape::mayFit)) {
        freed.add(shape);
      }
    }
    freed.forEach(this::unblock);
  }

  /** Lets all shapes be tried again. */
  void unblockAll() {
    List.copyOf(blocked).forEach(this::unblock);
  }

  /** Lets lanes of a team be tried again after its quota or its use changed. */
  void quotaChanged(TeamShare team) {
    for (PriorityClass priority : PriorityClass.values()) {
      TeamQueue queue = queues.get(priority).get(team.name());
      if (queue != null) {
        queue.quotaChanged();
        ready.get(priority).add(queue);
      }
    }
  }

  /** Forgets shapes and queues that nothing waits in. */
  void sweep() {
    for (Map<String, TeamQueue> byTeam : queues.values()) {
      byTeam.values().forEach(TeamQueue::sweep);
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
