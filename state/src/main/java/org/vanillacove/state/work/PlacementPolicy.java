package org.vanillacove.state.work;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Chooses workers for the tasks of one step by best fit, which keeps empty workers free for gangs.
 * Steps that run faster on the rack of their data prefer that rack. On workers of unlike speed a
 * gang goes to the fastest ones that hold it, since it ends with its slowest member, and so do
 * tasks that would be late on a slow worker.
 */
public final class PlacementPolicy {
  /** Share of the required speed from which workers count as fast enough. */
  private static final double LIKE_SPEED_SHARE = 0.85;

  /** Speed classes for each unit of speed, so that inaccurate estimates seldom decide. */
  private static final int CLASSES_PER_SPEED = 4;

  private PlacementPolicy() {}

  /**
   * A worker with its number of slots, which is computed once for a whole sort.
   *
   * @param id identifier of the worker
   * @param slots how many tasks of the step fit on it
   * @param speedClass class of its speed; 0 if speed doesn't count or no task fits
   */
  private record Ranked(String id, int slots, long speedClass) {}

  /**
   * Returns a worker for each of up to {@code count} tasks.
   *
   * @param step step whose tasks are placed
   * @param count number of tasks to place
   * @param workers workers that the step may use, with their free capacity
   * @return identifiers of workers, one for each placed task; for a gang all or none
   */
  public static List<String> place(StepSpec step, int count, List<WorkerCapacity> workers) {
    return place(step, count, workers, false);
  }

  /**
   * Returns a worker for each of up to {@code count} tasks.
   *
   * @param step step whose tasks are placed
   * @param count number of tasks to place
   * @param workers workers that the step may use, with their free capacity
   * @param urgent whether the tasks would be late on a slow worker
   * @return identifiers of workers, one for each placed task; for a gang all or none
   */
  public static List<String> place(
      StepSpec step, int count, List<WorkerCapacity> workers, boolean urgent) {
    int slots = slots(step, workers);
    if (slots == 0 || (step.gang() && slots < count)) {
      return List.of();
    }
    List<String> chosen = step.sameRack() ? placeOnOneRack(step, count, workers) : List.of();
    if (chosen.size() < count) {
      // Away from the data tasks take several times as long, which no speed makes up for.
      boolean bySpeed = step.dataRack().isEmpty() && (step.gang() || urgent);
      List<WorkerCapacity> considered =
          bySpeed ? fastest(step, Math.min(count, slots), workers) : workers;
      chosen = fill(step, count, inPlacementOrder(step, considered));
    }
    return step.gang() && chosen.size() < count ? List.of() : chosen;
  }

  /**
   * Returns the workers to keep free for a waiting gang: those that can hold a member of it.
   *
   * @param gang step of the gang, all of whose tasks wait
   * @param workers workers that the gang may use
   * @return identifiers of workers; none if the gang would not fit on them even without any other
   *     run, so that no wait for the end of runs makes room for it
   */
  public static Set<String> workersToReserve(StepSpec gang, List<WorkerCapacity> workers) {
    List<WorkerCapacity> suitable =
        workers.stream()
            .map(WorkerCapacity::withoutRuns)
            .filter(worker -> worker.slots(gang) > 0)
            .toList();
    return slots(gang, suitable) < gang.count()
        ? Set.of()
        : suitable.stream().map(WorkerCapacity::id).collect(Collectors.toUnmodifiableSet());
  }

  /** Returns how many tasks of {@code step} fit on all {@code workers} together. */
  public static int slots(StepSpec step, List<WorkerCapacity> workers) {
    int slots = 0;
    for (WorkerCapacity worker : workers) {
      slots += worker.slots(step);
    }
    return slots;
  }

  /**
   * Returns the identifiers of up to {@code count} workers, those with the most slots first; for a
   * gang the fastest ones first.
   */
  public static List<String> mostSlots(StepSpec step, List<WorkerCapacity> workers, int count) {
    List<Ranked> ranked = new ArrayList<>();
    for (WorkerCapacity worker : workers) {
      int slots = worker.slots(step);
      long speedClass =
          step.gang() && slots > 0 ? Math.round(worker.speed() * CLASSES_PER_SPEED) : 0;
      ranked.add(new Ranked(worker.id(), slots, speedClass));
    }
    ranked.sort(
        Comparator.comparingLong(Ranked::speedClass)
            .thenComparingInt(Ranked::slots)
            .reversed()
            .thenComparing(Ranked::id));
    return ranked.stream().limit(count).map(Ranked::id).toList();
  }

  private static List<String> placeOnOneRack(
      StepSpec step, int count, List<WorkerCapacity> workers) {
    Map<String, List<WorkerCapacity>> racks =
        workers.stream().collect(Collectors.groupingBy(WorkerCapacity::rack));
    return racks.values().stream()
        .filter(rack -> slots(step, rack) >= count)
        .min(Comparator.comparingInt((List<WorkerCapacity> rack) -> slots(step, rack)))
        .map(rack -> fill(step, count, inPlacementOrder(step, rack)))
        .orElse(List.of());
  }

  /** Returns the workers of the highest like speed that hold {@code count} tasks together. */
  private static List<WorkerCapacity> fastest(
      StepSpec step, int count, List<WorkerCapacity> workers) {
    List<WorkerCapacity> bySpeed =
        workers.stream()
            .sorted(Comparator.comparingDouble(WorkerCapacity::speed).reversed())
            .toList();
    int slots = 0;
    double slowest = 0;
    for (WorkerCapacity worker : bySpeed) {
      slots += worker.slots(step);
      slowest = worker.speed();
      if (slots >= count) {
        break;
      }
    }
    double required = slowest * LIKE_SPEED_SHARE;
    return workers.stream().filter(worker -> worker.speed() >= required).toList();
  }

  private static List<WorkerCapacity> inPlacementOrder(
      StepSpec step, List<WorkerCapacity> workers) {
    Function<WorkerCapacity, Boolean> outsideDataRack =
        worker -> step.dataRack().isPresent() && !step.dataRack().get().equals(worker.rack());
    return workers.stream()
        .filter(worker -> worker.slots(step) > 0)
        .sorted(
            Comparator.comparing(outsideDataRack)
                .thenComparing(worker -> -worker.utilizationAfter(step.demand()))
                .thenComparing(WorkerCapacity::id))
        .toList();
  }

  private static List<String> fill(StepSpec step, int count, List<WorkerCapacity> workers) {
    List<String> chosen = new ArrayList<>();
    for (WorkerCapacity worker : workers) {
      int take = Math.min(worker.slots(step), count - chosen.size());
      for (int i = 0; i < take; i++) {
        chosen.add(worker.id());
      }
    }
    return chosen;
  }
}
