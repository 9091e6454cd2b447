package org.vanillacove.bench.policy;

import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/** Measures packing by filling an empty cell until the first task has to wait. */
final class FillRun {
  private FillRun() {}

  /**
   * Returns the placed load as a share of its upper bound, the total capacity of the scarcest
   * resource, which no policy can exceed.
   */
  static double packing(Placer placer, CellShape shape, JobCatalog catalog) {
    for (WorkerSpec worker : shape.specs()) {
      placer.addWorker(worker);
    }
    Resources held = Resources.NONE;
    for (int i = 0; ; i++) {
      JobSpec spec =
          JobCatalog.batchTask(
              catalog.randomFamily().resources(), "team" + i % shape.teams(), 60_000);
      placer.submit("fill" + i, spec, 0);
      boolean started = false;
      for (PlacementDecision decision : placer.decide(0, 1_000)) {
        started |= decision instanceof PlacementDecision.Start;
      }
      if (!started) {
        return dominantShare(held, shape.totalCapacity());
      }
      held = held.plus(spec.resources());
    }
  }

  private static double dominantShare(Resources held, Resources total) {
    double share =
        Math.max(
            held.cpuMillis() / (double) total.cpuMillis(),
            held.memoryMib() / (double) total.memoryMib());
    return total.accelerators() == 0
        ? share
        : Math.max(share, held.accelerators() / (double) total.accelerators());
  }
}
