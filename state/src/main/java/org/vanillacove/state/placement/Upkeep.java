package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.WorkloadKind;

/** Work done once in a while: reservations for jobs that find no room, and return of loans. */
final class Upkeep {
  /** Time between two runs in milliseconds. */
  static final long INTERVAL_MILLIS = 1_000;

  /** Wait after which a gang gets a reservation, in milliseconds. */
  static final long GANG_WAIT_MILLIS = 1_000;

  /** Wait after which a single task gets a reservation, in milliseconds. */
  static final long TASK_WAIT_MILLIS = 30_000;

  /** Wait after which a team takes back what others borrowed, in milliseconds. */
  static final long RETURN_WAIT_MILLIS = 30_000;

  /** Later rank of low priority when reservations are given, in milliseconds. */
  static final long LOW_DELAY_MILLIS = 3_600_000;

  /** Reservations planned in one run at most. */
  private static final int MAX_PLANS = 2;

  /** Jobs for which loans are taken back in one run at most. */
  private static final int MAX_RETURNS = 8;

  /** Runs between two sweeps of empty queues. */
  private static final int SWEEP_RUNS = 64;

  /** What is known. */
  private final PlacementState state;

  /** Makes room by stopping tasks. */
  private final RoomMaker roomMaker;

  /** Plans reservations. */
  private final ReservationPlanner planner = new ReservationPlanner();

  /** Time of the last run in milliseconds. */
  private long lastMillis = Long.MIN_VALUE;

  /** Runs so far. */
  private int runs;

  /** A job that found no room. */
  private record Candidate(Job job, Lane lane, boolean borrowing) {
    /** Work within the quota first, then by rank. */
    private static final Comparator<Candidate> ORDER =
        Comparator.comparing(Candidate::borrowing)
            .thenComparingLong(Candidate::rankMillis)
            .thenComparingLong(candidate -> candidate.job().sequence());

    long rankMillis() {
      boolean low = job.spec().priority() == PriorityClass.LOW;
      return job.rankMillis() + (low ? LOW_DELAY_MILLIS : 0);
    }
  }

  Upkeep(PlacementState state, RoomMaker roomMaker) {
    this.state = state;
    this.roomMaker = roomMaker;
  }

  /** Runs if it is time, and adds the stops decided. */
  void run(long nowMillis, int limit, List<PlacementDecision> decisions) {
    if (lastMillis != Long.MIN_VALUE && nowMillis - lastMillis < INTERVAL_MILLIS) {
      return;
    }
    lastMillis = nowMillis;
    state.shares().count(nowMillis);
    if (++runs % SWEEP_RUNS == 0) {
      state.queue().sweep();
    }
    List<Candidate> candidates = candidates();
    takeBack(candidates, nowMillis, limit, decisions);
    reserve(candidates, nowMillis);
  }

  private List<Candidate> candidates() {
    List<Candidate> candidates = new ArrayList<>();
    for (PriorityClass priority : PriorityClass.values()) {
      for (TeamQueue queue : state.queue().all(priority)) {
        Optional<Job> head = queue.head();
        Optional<Lane> lane = head.flatMap(Job::lane);
        if (lane.isPresent() && lane.get().shape().isBlocked() && !lane.get().isOverQuota()) {
          ShapeKey key = lane.get().shape().key();
          boolean borrowing = !queue.team().isWithin(key.size().times(key.together()));
          candidates.add(new Candidate(head.get(), lane.get(), borrowing));
        }
      }
    }
    candidates.sort(Candidate.ORDER);
    return candidates;
  }

  private void takeBack(
      List<Candidate> candidates, long nowMillis, int limit, List<PlacementDecision> decisions) {
    int left = MAX_RETURNS;
    for (Candidate candidate : candidates) {
      Job job = candidate.job();
      if (candidate.borrowing() || left == 0 || decisions.size() >= limit) {
        return;
      }
      if (nowMillis - job.submittedAtMillis() >= RETURN_WAIT_MILLIS
          && state.nomination(job).isEmpty()) {
        left--;
        int room = limit - decisions.size();
        roomMaker.forOwner(job, candidate.lane().shape().key(), nowMillis, room, decisions);
      }
    }
  }

  private void reserve(List<Candidate> candidates, long nowMillis) {
    int left = MAX_PLANS;
    for (Candidate candidate : candidates) {
      Job job = candidate.job();
      if (left == 0 || !state.reservations().hasRoom()) {
        return;
      }
      long wait = job.spec().kind() == WorkloadKind.GANG ? GANG_WAIT_MILLIS : TASK_WAIT_MILLIS;
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
