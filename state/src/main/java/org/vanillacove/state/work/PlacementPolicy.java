package org.vanillacove.state.work;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Chooses workers for the tasks of one step. Best fit keeps empty workers whole for gangs; steps
 * that are slower away from a rack take that rack first.
 */
public final class PlacementPolicy {
  private PlacementPolicy() {}

  /**
   * Returns a worker for each of up to {@code count} tasks.
   *
   * @param step the step
   * @param count tasks to place
   * @param rooms the workers that the step may use
   * @return identifiers of workers, one for each task placed; for a gang all or none
   */
  public static List<String> place(StepSpec step, int count, List<WorkerRoom> rooms) {
    List<String> chosen = step.sameRack() ? oneRack(step, count, rooms) : List.of();
    if (chosen.size() < count) {
      chosen = fill(step, count, ordered(step, rooms));
    }
    return step.gang() && chosen.size() < count ? List.of() : chosen;
  }

  /** Returns how many tasks of {@code step} fit on {@code rooms} together. */
  public static int slots(StepSpec step, List<WorkerRoom> rooms) {
    return rooms.stream().mapToInt(room -> room.slots(step)).sum();
  }

  private static List<String> oneRack(StepSpec step, int count, List<WorkerRoom> rooms) {
    Map<String, List<WorkerRoom>> racks =
        rooms.stream().collect(Collectors.groupingBy(WorkerRoom::rack));
    return racks.values().stream()
        .filter(rack -> slots(step, rack) >= count)
        .min(Comparator.comparingInt((List<WorkerRoom> rack) -> slots(step, rack)))
        .map(rack -> fill(step, count, ordered(step, rack)))
        .orElse(List.of());
  }

  private static List<WorkerRoom> ordered(StepSpec step, List<WorkerRoom> rooms) {
    Function<WorkerRoom, Boolean> away =
        room -> step.dataRack().isPresent() && !step.dataRack().get().equals(room.rack());
    return rooms.stream()
        .filter(room -> room.slots(step) > 0)
        .sorted(
            Comparator.comparing(away)
                .thenComparing(room -> -room.fillAfter(step.demand()))
                .thenComparing(WorkerRoom::id))
        .toList();
  }

  private static List<String> fill(StepSpec step, int count, List<WorkerRoom> rooms) {
    List<String> chosen = new ArrayList<>();
    for (WorkerRoom room : rooms) {
      int take = Math.min(room.slots(step), count - chosen.size());
      for (int i = 0; i < take; i++) {
        chosen.add(room.id());
      }
    }
    return chosen;
  }
}
