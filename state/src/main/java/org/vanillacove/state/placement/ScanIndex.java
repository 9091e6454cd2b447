package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;

/** Baseline with the same preferences that scans all workers satisfying the constraints. */
final class ScanIndex extends FreeCapacityIndex {
  /** Workers that satisfy the constraints, in order of arrival. */
  private final List<WorkerState> workers = new ArrayList<>();

  ScanIndex(PlacementConstraints constraints) {
    super(constraints);
  }

  @Override
  void update(WorkerState worker) {}

  @Override
  void addWorker(WorkerState worker) {
    super.addWorker(worker);
    workers.add(worker);
  }

  @Override
  void removeWorker(WorkerState worker) {
    super.removeWorker(worker);
    workers.remove(worker);
  }

  @Override
  int size() {
    return (int) workers.stream().filter(WorkerState::isSchedulable).count();
  }

  @Override
  Optional<WorkerState> find(Resources need, Predicate<WorkerState> filter) {
    WorkerState best = null;
    int bestRow = Integer.MAX_VALUE;
    double bestScore = Double.MAX_VALUE;
    for (WorkerState worker : workers) {
      if (fits(worker, need, filter)) {
        int row = rowOf(worker);
        double score = leftoverScore(need, worker);
        if (row < bestRow || (row == bestRow && score < bestScore)) {
          best = worker;
          bestRow = row;
          bestScore = score;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  @Override
  void collect(Resources need, Predicate<WorkerState> filter, int limit, List<WorkerState> found) {
    for (WorkerState worker : workers) {
      if (found.size() >= limit) {
        return;
      }
      if (fits(worker, need, filter)) {
        found.add(worker);
      }
    }
  }

  private static boolean fits(WorkerState worker, Resources need, Predicate<WorkerState> filter) {
    return need.fitsIn(worker.placeable()) && worker.isSchedulable() && filter.test(worker);
  }
}
