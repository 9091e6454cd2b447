package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.FairShare;
import org.vanillacove.state.work.JobSpec;

/**
 * Order in which the waiting steps of several organisations are served: by urgency, then by the
 * shares of the organisations, then by the service order. Without configured organisations it is
 * the service order.
 */
final class FairOrder {
  /** What organisations have running, and their weights. */
  private final OrganisationUsage usage;

  /** Monotonic time of the last start of each organisation, in milliseconds. */
  private final Map<String, Long> lastStarts = new HashMap<>();

  /** Creates an order; nothing has started. */
  FairOrder(OrganisationUsage usage) {
    this.usage = usage;
  }

  /**
   * View of a waiting step.
   *
   * @param job returns the job of a step
   * @param step returns the step itself
   * @param urgency compares steps whose order doesn't depend on shares
   * @param <T> type that represents a step
   */
  record View<T>(Function<T, JobSpec> job, Function<T, TrackedStep> step, Comparator<T> urgency) {}

  /** Records that a task of the job's organisation starts. */
  void started(JobSpec job, long nowMillis) {
    lastStarts.put(OrganisationUsage.nameOf(job), nowMillis);
  }

  /**
   * Returns the steps in the order in which they are to be served; what starts during the iteration
   * counts at once.
   *
   * @param steps waiting steps in service order
   * @param view values of a step
   * @param workers all workers
   * @param nowMillis monotonic time in milliseconds
   */
  <T> Iterable<T> of(
      List<T> steps, View<T> view, Collection<WorkerSession> workers, long nowMillis) {
    if (usage.configured().all().isEmpty()) {
      return steps;
    }
    Function<T, String> organisation = step -> OrganisationUsage.nameOf(view.job().apply(step));
    List<T> overdue =
        FairShare.overdue(
            steps,
            organisation,
            step ->
                nowMillis
                    - waitsSince(
                        organisation.apply(step), view.step().apply(step).readySinceMillis()));
    List<List<T>> classes = new ArrayList<>();
    classes.add(overdue);
    classes.addAll(equallyUrgent(steps, new HashSet<>(overdue), view.urgency()));
    Resources capacity = capacity(workers);
    return new FairShare(capacity, usage.weights())
        .order(
            classes,
            new FairShare.View<>(
                organisation, step -> demand(view.step().apply(step), capacity), usage::use));
  }

  /** Returns what all waiting tasks of a step use together, at most the capacity. */
  private static Resources demand(TrackedStep step, Resources capacity) {
    Resources one = step.spec().demand();
    // A task that fits can't overflow the product.
    return one.fitsIn(capacity) ? one.times(step.waitingCount()) : capacity;
  }

  private long waitsSince(String organisation, long readySinceMillis) {
    return Math.max(readySinceMillis, lastStarts.getOrDefault(organisation, readySinceMillis));
  }

  private static <T> List<List<T>> equallyUrgent(
      List<T> steps, Set<T> without, Comparator<T> urgency) {
    List<List<T>> classes = new ArrayList<>();
    for (T step : steps) {
      if (without.contains(step)) {
        continue;
      }
      if (classes.isEmpty() || urgency.compare(classes.getLast().getFirst(), step) != 0) {
        classes.add(new ArrayList<>());
      }
      classes.getLast().add(step);
    }
    return classes;
  }

  /** Returns the total capacity of the workers that are in the directory. */
  static Resources capacity(Collection<WorkerSession> workers) {
    Resources total = Resources.NONE;
    for (WorkerSession worker : workers) {
      total = worker.isListed() ? total.plus(worker.capacity()) : total;
    }
    return total;
  }
}
