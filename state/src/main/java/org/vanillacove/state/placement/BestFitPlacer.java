package org.vanillacove.state.placement;

import java.util.Collection;
import java.util.Optional;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.Resources;

/** Starts tasks in order of arrival on the worker with the least capacity left afterwards. */
public final class BestFitPlacer extends ArrivalOrderPlacer {
  /** Creates a placer without workers and jobs. */
  public BestFitPlacer() {}

  @Override
  Optional<WorkerState> choose(JobSpec spec, Collection<WorkerState> candidates) {
    Optional<WorkerState> best = Optional.empty();
    double bestLeft = Double.MAX_VALUE;
    for (WorkerState worker : candidates) {
      if (worker.isActive()
          && spec.resources().fitsIn(worker.free())
          && spec.constraints().allows(worker.spec())) {
        double left = remainingShare(spec.resources(), worker);
        if (left < bestLeft) {
          bestLeft = left;
          best = Optional.of(worker);
        }
      }
    }
    return best;
  }

  private static double remainingShare(Resources size, WorkerState worker) {
    Resources capacity = worker.spec().capacity();
    Resources left = worker.free().minus(size);
    double share =
        Math.max(
            left.cpuMillis() / (double) Math.max(1, capacity.cpuMillis()),
            left.memoryMib() / (double) Math.max(1, capacity.memoryMib()));
    return share + left.accelerators();
  }
}
