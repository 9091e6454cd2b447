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

/** Detects jobs that can't run on the current workers even if these were empty. */
final class FeasibilityCheck {
  /** The constraints that remain when one is left out, with the name of the one left out. */
  private record Relaxed(String name, PlacementConstraints remaining) {}

  private FeasibilityCheck() {}

  /** Checks whether a task, or all tasks that must run at the same time, fit on empty workers. */
  static Admission check(JobSpec spec, Collection<WorkerSpec> workers) {
    long fitting = 0;
    Optional<WorkerSpec> lastAllowed = Optional.empty();
    List<WorkerSpec> allowed = new ArrayList<>();
    for (WorkerSpec worker : workers) {
      if (spec.constraints().allows(worker)) {
        allowed.add(worker);
        fitting += copies(worker.capacity(), spec.resources(), spec.taskCount());
        lastAllowed = Optional.of(worker);
      }
    }
    if (lastAllowed.isEmpty()) {
      return failedConstraint(spec, workers);
    }
    if (fitting == 0) {
      WorkerSpec nearest = nearest(spec.resources(), allowed);
      return new Admission.NeverFits(
          "size of a task: " + excess(spec.resources(), nearest.capacity()),
          "at most " + describe(nearest.capacity()) + ", as on worker " + nearest.id());
    }
    if (spec.kind() != WorkloadKind.BATCH && fitting < spec.taskCount()) {
      return new Admission.NeverFits(
          "task count: " + spec.taskCount() + " tasks must run at the same time",
          "at most " + fitting + " tasks of " + describe(spec.resources()));
    }
    return new Admission.Admitted();
  }

  /** Returns how many tasks of a size fit into a capacity, at most {@code limit}. */
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

  /** Formats resources for messages to users. */
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

  /** Describes the dimensions in which a size exceeds a capacity. */
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
      return new Admission.NeverFits("workers: none in the cell", "any worker");
    }
    PlacementConstraints all = spec.constraints();
    List<Relaxed> relaxed =
        List.of(
            new Relaxed(
                "regions " + all.regions(), withLocations(all, Set.of(), all.zones(), all.racks())),
            new Relaxed(
                "zones " + all.zones(), withLocations(all, all.regions(), Set.of(), all.racks())),
            new Relaxed(
                "racks " + all.racks(), withLocations(all, all.regions(), all.zones(), Set.of())),
            new Relaxed(
                "labels " + all.labels(),
                new PlacementConstraints(
                    all.regions(), all.zones(), all.racks(), Map.of(), all.acceleratorKind())),
            new Relaxed(
                "accelerator kind " + all.acceleratorKind().orElse("any"),
                new PlacementConstraints(
                    all.regions(), all.zones(), all.racks(), all.labels(), Optional.empty())));
    for (Relaxed candidate : relaxed) {
      List<WorkerSpec> matching =
          workers.stream().filter(w -> candidate.remaining().allows(w)).toList();
      if (!matching.isEmpty()) {
        WorkerSpec nearest = nearest(spec.resources(), matching);
        return new Admission.NeverFits(candidate.name(), describeWorker(nearest));
      }
    }
    WorkerSpec nearest = nearest(spec.resources(), List.copyOf(workers));
    return new Admission.NeverFits("several constraints: " + all, describeWorker(nearest));
  }

  private static PlacementConstraints withLocations(
      PlacementConstraints all, Set<String> regions, Set<String> zones, Set<String> racks) {
    return new PlacementConstraints(regions, zones, racks, all.labels(), all.acceleratorKind());
  }

  private static String describeWorker(WorkerSpec worker) {
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
