package org.vanillacove.state.placement;

import java.util.Collection;
import java.util.Optional;
import org.vanillacove.state.api.JobSpec;

/** Starts tasks in order of arrival on the first worker with enough free capacity. */
public final class FirstFitPlacer extends ArrivalOrderPlacer {
  /** Creates a placer without workers and jobs. */
  public FirstFitPlacer() {}

  @Override
  Optional<WorkerState> choose(JobSpec spec, Collection<WorkerState> candidates) {
    for (WorkerState worker : candidates) {
      if (worker.isActive()
          && spec.resources().fitsIn(worker.free())
          && spec.constraints().allows(worker.spec())) {
        return Optional.of(worker);
      }
    }
    return Optional.empty();
  }
}
