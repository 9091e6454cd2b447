package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.vanillacove.state.api.Resources;

/** Finds the workers that are expected to have enough free capacity for a job earliest. */
final class ReservationPlanner {
  /** Maximum number of workers examined for a gang. */
  private static final int MAX_GANG_WORKERS = 1_024;

  /** Maximum number of workers examined for a single task. */
  private static final int MAX_TASK_WORKERS = 48;

  /** Position of the first worker to examine; moves on so that plans start at different workers. */
  private int cursor;

  /** Time from which one more task is expected to fit on a worker. */
  private record Opening(long atMillis, WorkerState worker) {}

  /**
   * Plans a reservation, within a single region if one can hold the job.
   *
   * @return empty if the job won't fit even after the running tasks with an expected end are gone
   */
  Optional<Reservation> plan(Job job, ShapeKey shape, WorkerTable workers, long nowMillis) {
    Optional<Reservation> best = Optional.empty();
    if (shape.gangSize() > 1) {
      for (String region : workers.regions()) {
        Optional<Reservation> plan =
            plan(job, shape, workers, nowMillis, w -> w.spec().zone().region().equals(region));
        if (plan.isPresent()
            && (best.isEmpty() || plan.get().readyAtMillis() < best.get().readyAtMillis())) {
          best = plan;
        }
      }
    }
    return best.isPresent() ? best : plan(job, shape, workers, nowMillis, w -> true);
  }

  private Optional<Reservation> plan(
      Job job, ShapeKey shape, WorkerTable workers, long nowMillis, Predicate<WorkerState> domain) {
    List<Opening> openings = new ArrayList<>();
    int examined = 0;
    int limit = shape.gangSize() > 1 ? MAX_GANG_WORKERS : MAX_TASK_WORKERS;
    List<WorkerState> order = new ArrayList<>(workers.all());
    for (int i = 0; i < order.size(); i++) {
      WorkerState worker = order.get((cursor + i) % order.size());
      if (worker.isSchedulable()
          && !worker.isOnProbation()
          && shape.size().fitsIn(worker.spec().capacity())
          && domain.test(worker)
          && shape.constraints().allows(worker.spec())) {
        addOpenings(worker, shape.size(), shape.gangSize(), nowMillis, openings);
        if (++examined >= limit) {
          cursor = (cursor + i + 1) % order.size();
          break;
        }
      }
    }
    if (openings.size() < shape.gangSize()) {
      return Optional.empty();
    }
    openings.sort(Comparator.comparingLong(Opening::atMillis));
    Set<WorkerState> chosen = new LinkedHashSet<>();
    for (Opening opening : openings.subList(0, shape.gangSize())) {
      chosen.add(opening.worker());
    }
    long ready = openings.get(shape.gangSize() - 1).atMillis();
    return Optional.of(
        new Reservation(job, shape.size(), shape.gangSize(), List.copyOf(chosen), ready));
  }

  private static void addOpenings(
      WorkerState worker, Resources size, int limit, long nowMillis, List<Opening> openings) {
    Resources free = worker.placeable();
    long copies = FeasibilityCheck.copies(free, size, limit);
    for (long i = 0; i < copies; i++) {
      openings.add(new Opening(nowMillis, worker));
    }
    List<RunningTask> tasks = new ArrayList<>(worker.running());
    tasks.sort(Comparator.comparingLong(t -> t.expectedEnd(nowMillis)));
    for (RunningTask task : tasks) {
      long end = task.expectedEnd(nowMillis);
      if (end >= UsageEstimator.OPEN_ENDED_MILLIS || copies >= limit) {
        return;
      }
      free = free.plus(task.committed());
      long more = FeasibilityCheck.copies(free, size, limit);
      for (long i = copies; i < more; i++) {
        openings.add(new Opening(end, worker));
      }
      copies = more;
    }
  }
}
