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
  /** Workers looked at for one plan. */
  private static final int MAX_WORKERS = 1_024;

  /** Estimates of run times. */
  private final UsageEstimator estimator;

  /** A time at which a worker has room for one more task. */
  private record Opening(long atMillis, WorkerState worker) {}

  ReservationPlanner(UsageEstimator estimator) {
    this.estimator = estimator;
  }

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
    for (WorkerState worker : workers.all()) {
      if (worker.isOpen()
          && !worker.isOnProbation()
          && shape.size().fitsIn(worker.spec().capacity())
          && domain.test(worker)
          && shape.constraints().allows(worker.spec())) {
        addOpenings(worker, shape.size(), shape.together(), nowMillis, openings);
        if (++looked >= MAX_WORKERS) {
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

  private void addOpenings(
      WorkerState worker, Resources size, int limit, long nowMillis, List<Opening> openings) {
    Resources free = worker.placeable();
    long copies = FeasibilityCheck.copies(free, size, limit);
    for (long i = 0; i < copies; i++) {
      openings.add(new Opening(nowMillis, worker));
    }
    List<RunningTask> tasks = new ArrayList<>(worker.running());
    tasks.sort(Comparator.comparingLong(t -> estimator.expectedEnd(t, nowMillis)));
    for (RunningTask task : tasks) {
      long end = estimator.expectedEnd(task, nowMillis);
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
