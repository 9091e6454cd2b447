package org.vanillacove.state.placement;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;

/** Creates worker and job specifications for tests. */
final class Specs {
  /** Capacity of a worker without accelerators: 8 cores and 32 GiB. */
  static final Resources WORKER = new Resources(8_000, 32_768, 0);

  private Specs() {}

  static Resources size(int cores, int gib) {
    return new Resources(cores * 1_000L, gib * 1_024L, 0);
  }

  static WorkerSpec worker(String id, String zone, String rack) {
    return worker(id, zone, rack, WORKER, Optional.empty());
  }

  static WorkerSpec worker(
      String id, String zone, String rack, Resources capacity, Optional<String> kind) {
    return new WorkerSpec(
        id,
        "127.0.0.1:7000",
        new AvailabilityZone("region-" + zone.charAt(0), zone),
        rack,
        capacity,
        kind,
        Map.of());
  }

  static JobSpec job(WorkloadKind kind, PriorityClass priority, int tasks, Resources size) {
    return job("family", "team", kind, priority, tasks, size);
  }

  static JobSpec job(
      String name,
      String team,
      WorkloadKind kind,
      PriorityClass priority,
      int tasks,
      Resources size) {
    return new JobSpec(
        name,
        team,
        kind,
        priority,
        tasks,
        size,
        PlacementConstraints.ANY,
        RerunPolicy.RERUN,
        LossPolicy.MOVE,
        false,
        kind == WorkloadKind.SERVICE ? 0 : 60_000,
        "run");
  }

  static JobSpec atMostOnce(JobSpec spec, boolean checkpointable) {
    return new JobSpec(
        spec.name(),
        spec.team(),
        spec.kind(),
        spec.priority(),
        spec.taskCount(),
        spec.resources(),
        spec.constraints(),
        RerunPolicy.AT_MOST_ONCE,
        spec.loss(),
        checkpointable,
        spec.expectedRunMillis(),
        spec.command());
  }

  static JobSpec within(JobSpec spec, PlacementConstraints constraints) {
    return new JobSpec(
        spec.name(),
        spec.team(),
        spec.kind(),
        spec.priority(),
        spec.taskCount(),
        spec.resources(),
        constraints,
        spec.rerun(),
        spec.loss(),
        spec.checkpointable(),
        spec.expectedRunMillis(),
        spec.command());
  }

  static PlacementConstraints inZone(String zone) {
    return new PlacementConstraints(Set.of(), Set.of(zone), Set.of(), Map.of(), Optional.empty());
  }
}
