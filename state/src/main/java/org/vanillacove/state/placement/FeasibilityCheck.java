package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;

/** Tells jobs that wait from jobs that can never run on the workers known. */
final class FeasibilityCheck {
  /** A constraint left out, with its name. */
  private record Relaxed(String name, PlacementConstraints rest) {}

  private FeasibilityCheck() {}

  /** Checks one task, and all tasks of a job that must run side by side, on empty workers. */
  static Admission check(JobSpec spec, Collection<WorkerSpec> workers) {
    long room = 0;
    Optional<WorkerSpec> roomiest = Optional.empty();
    List<WorkerSpec> allowed = new ArrayList<>();
    for (WorkerSpec worker : workers) {
      if (spec.constraints().allows(worker)) {
        allowed.add(worker);
        room += copies(worker.capacity(), spec.resources(), spec.taskCount());
        roomiest = Optional.of(worker);
      }
    }
    if (roomiest.isEmpty()) {
      return failedConstraint(spec, workers);
    }
    if (room == 0) {
      WorkerSpec nearest = nearest(spec.resources(), allowed);
      return new Admission.NeverFits(
          "size of a task: " + excess(spec.resources(), nearest.capacity()),
          "at most " + describe(nearest.capacity()) + ", as on worker " + nearest.id());
    }
    if (spec.kind() != WorkloadKind.BATCH && room < spec.taskCount()) {
      return new Admission.NeverFits(
          "task count: " + spec.taskCount() + " tasks must run side by side",
          "at most " + room + " tasks of " + describe(spec.resources()));
    }
    return new Admission.Admitted();
  }

  /** Returns how many tasks of a size fit a capacity, at most {@code limit}. */
  static long copies(Resources capacity, Resources size, long limit) {
    long copies = limit;
    if (size.cpuMillis() > 0) {
      copies = Math.min(copies, Math.max(0, capacity.cpuMillis()) / size.cpuMillis());
    }
    if (size.memoryMib() > 0) {
      copies = Math.min(copies, Math.max(0, capacity.memoryMib()) / size.memoryMib());
    }
    if (size.accelerators() > 0) {
      copies = Math.min(copies, Math.max(0, capacity.accelerators()) / size.accelerators());
    }
    return copies;
  }

  /** Returns a readable form of a size. */
  static String describe(Resources size) {
    String cores =
        size.cpuMillis() % 1_000 == 0
            ? Long.toString(size.cpuMillis() / 1_000)
            : Double.toString(size.cpuMillis() / 1_000.0);
    return cores
        + " cores, "
        + size.memoryMib()
        + " MiB"
        + (size.accelerators() > 0 ? ", " + size.accelerators() + " accelerators" : "");
  }

  /** Returns the dimensions in which a size passes a capacity. */
  static String excess(Resources size, Resources capacity) {
    List<String> parts = new ArrayList<>();
    if (size.cpuMillis() > capacity.cpuMillis()) {
      parts.add("cpu " + size.cpuMillis() + "m > " + capacity.cpuMillis() + "m");
    }
    if (size.memoryMib() > capacity.memoryMib()) {
      parts.add("memory " + size.memoryMib() + " MiB > " + capacity.memoryMib() + " MiB");
    }
    if (size.accelerators() > capacity.accelerators()) {
      parts.add("accelerators " + size.accelerators() + " > " + capacity.accelerators());
    }
    return String.join(", ", parts);
  }

  private static WorkerSpec nearest(Resources size, List<WorkerSpec> workers) {
    return workers.stream()
        .min(
            Comparator.comparingDouble((WorkerSpec w) -> shortfall(size, w.capacity()))
                .thenComparing(WorkerSpec::id))
        .orElseThrow();
  }

  private static double shortfall(Resources size, Resources capacity) {
    return shortfall(size.cpuMillis(), capacity.cpuMillis())
        + shortfall(size.memoryMib(), capacity.memoryMib())
        + shortfall(size.accelerators(), capacity.accelerators());
  }

  private static double shortfall(long size, long capacity) {
    return size <= capacity ? 0 : (size - capacity) / (double) size;
  }

  private static Admission failedConstraint(JobSpec spec, Collection<WorkerSpec> workers) {
    if (workers.isEmpty()) {
      return new Admission.NeverFits("workers: the cell has none", "any worker");
    }
    PlacementConstraints all = spec.constraints();
    List<Relaxed> relaxed =
        List.of(
            new Relaxed("regions " + all.regions(), with(all, Set.of(), all.zones(), all.racks())),
            new Relaxed("zones " + all.zones(), with(all, all.regions(), Set.of(), all.racks())),
            new Relaxed("racks " + all.racks(), with(all, all.regions(), all.zones(), Set.of())),
            new Relaxed(
                "labels " + all.labels(),
                new PlacementConstraints(
                    all.regions(), all.zones(), all.racks(), Map.of(), all.acceleratorKind())),
            new Relaxed(
                "accelerator kind " + all.acceleratorKind().orElse("any"),
                new PlacementConstraints(
                    all.regions(), all.zones(), all.racks(), all.labels(), Optional.empty())));
    for (Relaxed candidate : relaxed) {
      List<WorkerSpec> matching = workers.stream().filter(w -> candidate.rest().allows(w)).toList();
      if (!matching.isEmpty()) {
        WorkerSpec nearest = nearest(spec.resources(), matching);
        return new Admission.NeverFits(candidate.name(), placeOf(nearest));
      }
    }
    WorkerSpec nearest = nearest(spec.resources(), List.copyOf(workers));
    return new Admission.NeverFits("several constraints: " + all, placeOf(nearest));
  }

  private static PlacementConstraints with(
      PlacementConstraints all, Set<String> regions, Set<String> zones, Set<String> racks) {
    return new PlacementConstraints(regions, zones, racks, all.labels(), all.acceleratorKind());
  }

  private static String placeOf(WorkerSpec worker) {
    return "region "
        + worker.zone().region()
        + ", zone "
        + worker.zone().name()
        + ", rack "
        + worker.rack()
        + worker.acceleratorKind().map(kind -> ", accelerator kind " + kind).orElse("")
        + (worker.labels().isEmpty() ? "" : ", labels " + worker.labels())
        + " with "
        + describe(worker.capacity());
  }
}
