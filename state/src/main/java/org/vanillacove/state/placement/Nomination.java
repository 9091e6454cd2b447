package org.vanillacove.state.placement;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.List;
import org.vanillacove.state.api.Resources;

/**
 * Room that is being made for tasks by stopping others.
 *
 * @param job job that needs the room
 * @param size resources of one task
 * @param indexes tasks that will start, one for each slot
 * @param slots workers they will start on
 * @param decidedAtMillis time of the decision in milliseconds
 */
record Nomination(
    Job job, Resources size, List<Integer> indexes, List<WorkerState> slots, long decidedAtMillis) {
  /** Returns whether the stopped tasks have ended everywhere. */
  boolean isReady() {
    Multiset<WorkerState> counts = HashMultiset.create(slots);
    return counts.entrySet().stream()
        .allMatch(e -> size.times(e.getCount()).fitsIn(e.getElement().available()));
  }

  /** Returns whether all workers still take tasks. */
  boolean isPossible() {
    return slots.stream().allMatch(w -> w.isActive() && !w.isQuarantined());
  }
}
