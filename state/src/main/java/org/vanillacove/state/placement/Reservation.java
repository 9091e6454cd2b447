package org.vanillacove.state.placement;

import java.util.List;
import org.vanillacove.state.api.Resources;

/**
 * Workers kept free for a job that found no room.
 *
 * <p>The workers suffice for the whole job once their running tasks have ended, and belong to one
 * reservation only, so that two reservations never wait for each other.
 *
 * @param job job the workers are kept for
 * @param size resources of one task
 * @param count tasks that start together
 * @param workers the workers
 * @param readyAtMillis time at which they are expected to have room, in milliseconds
 */
record Reservation(
    Job job, Resources size, int count, List<WorkerState> workers, long readyAtMillis) {
  /** Returns whether the workers have room for all tasks now. */
  boolean isReady() {
    long room = 0;
    for (WorkerState worker : workers) {
      if (worker.takesTasks()) {
        room += FeasibilityCheck.copies(worker.placeable(), size, count);
      }
    }
    return room >= count;
  }

  /** Returns whether the workers can still get room for all tasks. */
  boolean isPossible() {
    long room = 0;
    for (WorkerState worker : workers) {
      if (worker.isActive() && !worker.isQuarantined()) {
        room += FeasibilityCheck.copies(worker.spec().capacity(), size, count);
      }
    }
    return room >= count;
  }
}
