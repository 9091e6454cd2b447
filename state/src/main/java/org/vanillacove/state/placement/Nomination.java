package org.vanillacove.state.placement;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.List;
import org.vanillacove.state.api.Resources;

/**
 * Capacity reserved for tasks of a job while the tasks preempted for it are being stopped.
 *
 * @param job job that the capacity is reserved for
 * @param size resources of one task
 * @param indexes indexes of the tasks to start, one for each slot
 * @param slots workers that the tasks will start on, in the order of {@code indexes}
 * @param decidedAtMillis time of the decision in milliseconds
 */
record Nomination(
    Job job, Resources size, List<Integer> indexes, List<WorkerState> slots, long decidedAtMillis) {
  /** Returns whether enough preempted tasks have ended for all tasks to start. */
  boolean isReady() {
    Multiset<WorkerState> counts = HashMultiset.create(slots);
    return counts.entrySet().stream()
        .allMatch(e -> size.times(e.getCount()).fitsIn(e.getElement().placeableWithReserved()));
  }

  /** Returns whether all workers are still active and not quarantined. */
  boolean isPossible() {
    return slots.stream().allMatch(w -> w.isActive() && !w.isQuarantined());
  }
}
