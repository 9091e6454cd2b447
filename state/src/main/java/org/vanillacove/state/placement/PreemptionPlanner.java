package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/** Finds the cheapest set of tasks on one worker whose stop makes room for a task. */
final class PreemptionPlanner {
  /** Workers with a sufficient set that are compared. */
  private static final int MAX_CANDIDATES = 64;

  /** Workers looked at for one plan. */
  private static final int MAX_LOOKED_AT = 1_024;

  /** Work lost by a stop after a checkpoint, in milliseconds. */
  private static final long CHECKPOINT_LOSS_MILLIS = 5_000;

  /** Work lost by any stop, in milliseconds. */
  private static final long RESTART_LOSS_MILLIS = 1_000;

  /** Cost of a normal task in relation to one of low priority. */
  private static final double NORMAL_FACTOR = 4;

  /** Workers looked at so far, so that plans start at different workers. */
  private int cursor;

  /**
   * A way to make room.
   *
   * @param worker worker on which room is made
   * @param victims tasks to stop, members of the same gangs on other workers included
   * @param cost work lost, in milliseconds of the whole cell
   */
  record Plan(WorkerState worker, List<RunningTask> victims, double cost) {}

  /** Tasks that are stopped together. */
  private record Group(Resources freed, List<RunningTask> tasks, double cost) {}

  /** Plans room for one task; {@code mayStop} tells which running tasks may be stopped. */
  Optional<Plan> plan(
      ShapeKey shape,
      Collection<WorkerState> candidates,
      Predicate<RunningTask> mayStop,
      Resources capacity,
      long nowMillis) {
    Optional<Plan> best = Optional.empty();
    int found = 0;
    int looked = 0;
    int skip = candidates.isEmpty() ? 0 : cursor % candidates.size();
    List<WorkerState> order = new ArrayList<>(candidates);
    for (int i = 0; i < order.size() && looked < MAX_LOOKED_AT && found < MAX_CANDIDATES; i++) {
      WorkerState worker = order.get((skip + i) % order.size());
      looked++;
      if (worker.isOpen()
          && shape.size().fitsIn(worker.spec().capacity())
          && shape.constraints().allows(worker.spec())) {
        Optional<Plan> plan = plan(shape.size(), worker, mayStop, capacity, nowMillis);
        if (plan.isPresent()) {
          found++;
          if (best.isEmpty() || plan.get().cost() < best.get().cost()) {
            best = plan;
          }
        }
      }
    }
    cursor += looked;
    return best;
  }

  private static Optional<Plan> plan(
      Resources size,
      WorkerState worker,
      Predicate<RunningTask> mayStop,
      Resources capacity,
      long nowMillis) {
    Resources ending = worker.placeable();
    Resources room = Resources.NONE;
    for (RunningTask task : worker.running()) {
      if (task.isPreempting()) {
        ending = ending.plus(task.committed());
      } else if (mayStop.test(task)) {
        room = room.plus(task.committed());
      }
    }
    if (!size.fitsIn(ending.plus(room))) {
      return Optional.empty();
    }
    List<Group> groups = groups(worker, mayStop, capacity, nowMillis);
    groups.sort(Comparator.comparingDouble(Group::cost));
    List<Group> chosen = new ArrayList<>();
    room = ending;
    for (Group group : groups) {
      if (size.fitsIn(room)) {
        break;
      }
      room = room.plus(group.freed());
      chosen.add(group);
    }
    if (!size.fitsIn(room)) {
      return Optional.empty();
    }
    for (int i = chosen.size() - 1; i >= 0; i--) {
      Resources without = room.minus(chosen.get(i).freed());
      if (size.fitsIn(without)) {
        room = without;
        chosen.remove(i);
      }
    }
    List<RunningTask> victims = new ArrayList<>();
    double cost = 0;
    for (Group group : chosen) {
      victims.addAll(group.tasks());
      cost += group.cost();
    }
    return Optional.of(new Plan(worker, victims, cost));
  }

  private static List<Group> groups(
      WorkerState worker, Predicate<RunningTask> mayStop, Resources capacity, long nowMillis) {
    Map<Object, List<RunningTask>> byOwner = new LinkedHashMap<>();
    for (RunningTask task : worker.running()) {
      if (mayStop.test(task)) {
        boolean gang = task.job().spec().kind() == WorkloadKind.GANG;
        byOwner.computeIfAbsent(gang ? task.job() : task, k -> new ArrayList<>()).add(task);
      }
    }
    List<Group> groups = new ArrayList<>();
    for (Map.Entry<Object, List<RunningTask>> entry : byOwner.entrySet()) {
      Resources freed = Resources.NONE;
      for (RunningTask task : entry.getValue()) {
        freed = freed.plus(task.committed());
      }
      Collection<RunningTask> stopped =
          entry.getKey() instanceof Job gang ? gang.running() : entry.getValue();
      if (stopped.stream().allMatch(mayStop)) {
        double cost = stopped.stream().mapToDouble(t -> cost(t, capacity, nowMillis)).sum();
        groups.add(new Group(freed, List.copyOf(stopped), cost));
      }
    }
    return groups;
  }

  private static double cost(RunningTask task, Resources capacity, long nowMillis) {
    boolean checkpointable = task.job().spec().checkpointable();
    long lost =
        checkpointable ? CHECKPOINT_LOSS_MILLIS : Math.max(0, nowMillis - task.startedAtMillis());
    double factor = task.job().spec().priority() == PriorityClass.LOW ? 1 : NORMAL_FACTOR;
    return factor
        * (lost + RESTART_LOSS_MILLIS)
        * TeamShare.dominantShare(task.committed(), capacity);
  }
}
