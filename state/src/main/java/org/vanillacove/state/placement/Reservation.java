package org.vanillacove.state.placement;

import java.util.List;
import org.vanillacove.state.api.Resources;

/**
 * Workers reserved for a job that found no free capacity.
 *
 * <p>The workers suffice for the whole job once their running tasks have ended. A worker belongs to
 * one reservation only, so that two reservations never wait for each other.
 *
 * @param job job that the workers are reserved for
 * @param size resources of one task
 * @param count tasks that start together
 * @param workers reserved workers, without duplicates
 * @param readyAtMillis time at which all tasks are expected to fit, in milliseconds
 */
record Reservation(
    Job job, Resources size, int count, List<WorkerState> workers, long readyAtMillis) {
  /** Returns whether all tasks fit on the workers now. */
  boolean isReady() {
    long fitting = 0;
    for (WorkerState worker : workers) {
      if (worker.acceptsTasks()) {
        fitting += FeasibilityCheck.copies(worker.placeable(), size, count);
      }
    }
    return fitting >= count;
  }

  /** Returns whether all tasks would fit if the workers still usable were empty. */
  boolean isPossible() {
    long fitting = 0;
    for (WorkerState worker : workers) {
      if (worker.isActive() && !worker.isQuarantined()) {
        fitting += FeasibilityCheck.copies(worker.spec().capacity(), size, count);
      }
    }
    return fitting >= count;
  }
}
