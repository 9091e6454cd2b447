package org.vanillacove.bench.policy;

import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/** Fills an empty cell until the first task has to wait. */
final class FillRun {
  private FillRun() {}

  /**
   * Returns the load carried over the bound that no policy can pass, the whole of the scarcest
   * dimension.
   */
  static double packing(Placer placer, CellShape shape, JobCatalog catalog) {
    for (WorkerSpec worker : shape.specs()) {
      placer.addWorker(worker);
    }
    Resources held = Resources.NONE;
    for (int i = 0; ; i++) {
      JobSpec spec =
          JobCatalog.endless(catalog.family().resources(), "team" + i % shape.teams(), 60_000);
      placer.submit("fill" + i, spec, 0);
      boolean started = false;
      for (PlacementDecision decision : placer.decide(0, 1_000)) {
        started |= decision instanceof PlacementDecision.Start;
      }
      if (!started) {
        return share(held, shape.total());
      }
      held = held.plus(spec.resources());
    }
  }

  private static double share(Resources held, Resources total) {
    double share =
        Math.max(
            held.cpuMillis() / (double) total.cpuMillis(),
            held.memoryMib() / (double) total.memoryMib());
    return total.accelerators() == 0
        ? share
        : Math.max(share, held.accelerators() / (double) total.accelerators());
  }
}
