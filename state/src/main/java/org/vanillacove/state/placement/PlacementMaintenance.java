package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Periodic maintenance of the placement state.
 *
 * <p>Plans reservations for jobs that have waited long, reclaims borrowed capacity for teams within
 * their quota, updates average shares and removes empty queues.
 */
final class PlacementMaintenance {
  /** Minimum time between two runs in milliseconds. */
  static final long INTERVAL_MILLIS = 1_000;

  /** Time a gang must wait before it gets a reservation, in milliseconds. */
  static final long GANG_RESERVATION_WAIT_MILLIS = 1_000;

  /** Time a job that isn't a gang must wait before it gets a reservation, in milliseconds. */
  static final long TASK_RESERVATION_WAIT_MILLIS = 30_000;

  /** Time a job must wait before its team reclaims borrowed capacity, in milliseconds. */
  static final long RECLAIM_WAIT_MILLIS = 30_000;

  /** Delay added to the rank of low-priority jobs when candidates are ordered, in milliseconds. */
  static final long LOW_PRIORITY_DELAY_MILLIS = 3_600_000;

  /** Maximum number of reservations planned in one run. */
  private static final int MAX_RESERVATION_PLANS = 2;

  /** Maximum number of jobs for which capacity is reclaimed in one run. */
  private static final int MAX_RECLAIMS = 8;

  /** Number of runs between two removals of empty queues. */
  private static final int CLEANUP_INTERVAL_RUNS = 64;

  /** Workers, jobs and queues that maintenance reads and updates. */
  private final PlacementState state;

  /** Reclaims capacity by stopping tasks. */
  private final Preemptor preemptor;

  /** Finds the workers to reserve for a job. */
  private final ReservationPlanner planner = new ReservationPlanner();

  /** Time of the last run in milliseconds. */
  private long lastMillis = Long.MIN_VALUE;

  /** Number of runs so far. */
  private int runs;

  /** First job of a queue, which fits on no worker now although its quota allows it. */
  private record Candidate(Job job, Lane lane, boolean borrowing) {
    /** Jobs within the quota of their team first, then by rank and sequence number. */
    private static final Comparator<Candidate> ORDER =
        Comparator.comparing(Candidate::borrowing)
            .thenComparingLong(Candidate::rankMillis)
            .thenComparingLong(candidate -> candidate.job().sequence());

    long rankMillis() {
      boolean low = job.spec().priority() == PriorityClass.LOW;
      return job.rankMillis() + (low ? LOW_PRIORITY_DELAY_MILLIS : 0);
    }
  }

  PlacementMaintenance(PlacementState state, Preemptor preemptor) {
    this.state = state;
    this.preemptor = preemptor;
  }

  /** Runs if the interval has passed, and adds the stops decided to {@code decisions}. */
  void run(long nowMillis, int limit, List<PlacementDecision> decisions) {
    if (lastMillis != Long.MIN_VALUE && nowMillis - lastMillis < INTERVAL_MILLIS) {
      return;
    }
    lastMillis = nowMillis;
    state.shares().updateAverageShares(nowMillis);
    if (++runs % CLEANUP_INTERVAL_RUNS == 0) {
      state.queue().removeEmpty();
    }
    List<Candidate> candidates = candidates();
    reclaimQuota(candidates, nowMillis, limit, decisions);
    planReservations(candidates, nowMillis);
  }

  private List<Candidate> candidates() {
    List<Candidate> candidates = new ArrayList<>();
    for (PriorityClass priority : PriorityClass.values()) {
      for (TeamQueue queue : state.queue().teamQueues(priority)) {
        Optional<Job> head = queue.head();
        Optional<Lane> lane = head.flatMap(Job::lane);
        if (lane.isPresent() && lane.get().shape().isBlocked() && !lane.get().isOverQuota()) {
          ShapeKey key = lane.get().shape().key();
          boolean borrowing = !queue.team().isWithinQuota(key.size().times(key.gangSize()));
          candidates.add(new Candidate(head.get(), lane.get(), borrowing));
        }
      }
    }
    candidates.sort(Candidate.ORDER);
    return candidates;
  }

  private void reclaimQuota(
      List<Candidate> candidates, long nowMillis, int limit, List<PlacementDecision> decisions) {
    int left = MAX_RECLAIMS;
    for (Candidate candidate : candidates) {
      Job job = candidate.job();
      if (candidate.borrowing() || left == 0 || decisions.size() >= limit) {
        return;
      }
      if (nowMillis - job.submittedAtMillis() >= RECLAIM_WAIT_MILLIS
          && state.nomination(job).isEmpty()) {
        left--;
        int remainingDecisions = limit - decisions.size();
        preemptor.reclaimBorrowed(
            job, candidate.lane().shape().key(), nowMillis, remainingDecisions, decisions);
      }
    }
  }

  private void planReservations(List<Candidate> candidates, long nowMillis) {
    int left = MAX_RESERVATION_PLANS;
    for (Candidate candidate : candidates) {
      Job job = candidate.job();
      if (left == 0 || !state.reservations().canAdd()) {
        return;
      }
      long wait =
          job.spec().kind() == WorkloadKind.GANG
              ? GANG_RESERVATION_WAIT_MILLIS
              : TASK_RESERVATION_WAIT_MILLIS;
      if (nowMillis - job.submittedAtMillis() >= wait
          && job.hasPending()
          && state.nomination(job).isEmpty()
          && state.reservations().of(job).isEmpty()) {
        left--;
        planner
            .plan(job, candidate.lane().shape().key(), state.workers(), nowMillis)
            .ifPresent(state.reservations()::add);
      }
    }
  }
}
