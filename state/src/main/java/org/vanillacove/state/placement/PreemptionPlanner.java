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

/** Finds the cheapest set of tasks on one worker to preempt so that another task fits. */
final class PreemptionPlanner {
  /** Maximum number of workers with a sufficient set that are compared in one plan. */
  private static final int MAX_CANDIDATES = 64;

  /** Maximum number of workers examined in one plan. */
  private static final int MAX_EXAMINED = 1_024;

  /** Work assumed lost when a checkpointable task is stopped, in milliseconds. */
  private static final long CHECKPOINT_LOSS_MILLIS = 5_000;

  /** Work assumed lost by every stop and restart, in milliseconds. */
  private static final long RESTART_LOSS_MILLIS = 1_000;

  /** Cost of preempting a task of normal priority, relative to one of low priority. */
  private static final double NORMAL_FACTOR = 4;

  /** Number of workers examined so far; lets each plan start at a different worker. */
  private int cursor;

  /**
   * A set of tasks on one worker that would be preempted.
   *
   * @param worker worker on which capacity is freed
   * @param victims tasks to stop, including tasks of the same gangs on other workers
   * @param cost work lost, in milliseconds weighted by the share of the capacity of the cell
   */
  record Plan(WorkerState worker, List<RunningTask> victims, double cost) {}

  /** Tasks that are stopped together: one task, or all tasks of a gang. */
  private record Group(Resources freed, List<RunningTask> tasks, double cost) {}

  /** Plans capacity for one task; {@code mayPreempt} selects the tasks that may be preempted. */
  Optional<Plan> plan(
      ShapeKey shape,
      Collection<WorkerState> candidates,
      Predicate<RunningTask> mayPreempt,
      Resources capacity,
      long nowMillis) {
    Optional<Plan> best = Optional.empty();
    int found = 0;
    int examined = 0;
    int skip = candidates.isEmpty() ? 0 : cursor % candidates.size();
    List<WorkerState> order = new ArrayList<>(candidates);
    for (int i = 0; i < order.size() && examined < MAX_EXAMINED && found < MAX_CANDIDATES; i++) {
      WorkerState worker = order.get((skip + i) % order.size());
      examined++;
      if (worker.isSchedulable()
          && shape.size().fitsIn(worker.spec().capacity())
          && shape.constraints().allows(worker.spec())) {
        Optional<Plan> plan = plan(shape.size(), worker, mayPreempt, capacity, nowMillis);
        if (plan.isPresent()) {
          found++;
          if (best.isEmpty() || plan.get().cost() < best.get().cost()) {
            best = plan;
          }
        }
      }
    }
    cursor += examined;
    return best;
  }

  private static Optional<Plan> plan(
      Resources size,
      WorkerState worker,
      Predicate<RunningTask> mayPreempt,
      Resources capacity,
      long nowMillis) {
    Resources ending = worker.placeable();
    Resources available = Resources.NONE;
    for (RunningTask task : worker.running()) {
      if (task.isPreempting()) {
        ending = ending.plus(task.committed());
      } else if (mayPreempt.test(task)) {
        available = available.plus(task.committed());
      }
    }
    if (!size.fitsIn(ending.plus(available))) {
      return Optional.empty();
    }
    List<Group> groups = groups(worker, mayPreempt, capacity, nowMillis);
    groups.sort(Comparator.comparingDouble(Group::cost));
    List<Group> chosen = new ArrayList<>();
    available = ending;
    for (Group group : groups) {
      if (size.fitsIn(available)) {
        break;
      }
      available = available.plus(group.freed());
      chosen.add(group);
    }
    if (!size.fitsIn(available)) {
      return Optional.empty();
    }
    for (int i = chosen.size() - 1; i >= 0; i--) {
      Resources without = available.minus(chosen.get(i).freed());
      if (size.fitsIn(without)) {
        available = without;
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
      WorkerState worker, Predicate<RunningTask> mayPreempt, Resources capacity, long nowMillis) {
    Map<Object, List<RunningTask>> byOwner = new LinkedHashMap<>();
    for (RunningTask task : worker.running()) {
      if (mayPreempt.test(task)) {
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
      if (stopped.stream().allMatch(mayPreempt)) {
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
