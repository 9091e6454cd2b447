package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.vanillacove.state.api.Resources;

/** Finds the workers that are expected to have room for a job first. */
final class ReservationPlanner {
  /** Workers looked at for a gang. */
  private static final int GANG_WORKERS = 1_024;

  /** Workers looked at for a single task. */
  private static final int TASK_WORKERS = 48;

  /** Workers passed so far, so that plans start at different workers. */
  private int cursor;

  /** A time at which a worker has room for one more task. */
  private record Opening(long atMillis, WorkerState worker) {}

  /**
   * Plans a reservation, in one region if a region can hold the job.
   *
   * @return empty if the job cannot get room by the ends of running tasks alone
   */
  Optional<Reservation> plan(Job job, ShapeKey shape, WorkerTable workers, long nowMillis) {
    Optional<Reservation> best = Optional.empty();
    if (shape.together() > 1) {
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
    int looked = 0;
    int limit = shape.together() > 1 ? GANG_WORKERS : TASK_WORKERS;
    List<WorkerState> order = new ArrayList<>(workers.all());
    for (int i = 0; i < order.size(); i++) {
      WorkerState worker = order.get((cursor + i) % order.size());
      if (worker.isOpen()
          && !worker.isOnProbation()
          && shape.size().fitsIn(worker.spec().capacity())
          && domain.test(worker)
          && shape.constraints().allows(worker.spec())) {
        addOpenings(worker, shape.size(), shape.together(), nowMillis, openings);
        if (++looked >= limit) {
          cursor = (cursor + i + 1) % order.size();
          break;
        }
      }
    }
    if (openings.size() < shape.together()) {
      return Optional.empty();
    }
    openings.sort(Comparator.comparingLong(Opening::atMillis));
    Set<WorkerState> chosen = new LinkedHashSet<>();
    for (Opening opening : openings.subList(0, shape.together())) {
      chosen.add(opening.worker());
    }
    long ready = openings.get(shape.together() - 1).atMillis();
    return Optional.of(
        new Reservation(job, shape.size(), shape.together(), List.copyOf(chosen), ready));
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
