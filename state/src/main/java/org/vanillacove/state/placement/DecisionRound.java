package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/**
 * One round of placement decisions.
 *
 * <p>A round first stops the remaining tasks of gangs to be restarted, then starts nominated and
 * reserved jobs, then goes through the queues by priority class. It makes at most {@code limit}
 * decisions, except that its first decision may start a gang with more tasks.
 */
final class DecisionRound {
  /** Age at which a nomination whose preempted tasks still run is cancelled, in milliseconds. */
  private static final long MAX_NOMINATION_MILLIS = 10_000;

  /** Workers, jobs and queues that the round reads and updates. */
  private final PlacementState state;

  /** Chooses workers with enough free capacity. */
  private final WorkerChooser chooser;

  /** Frees capacity for urgent jobs by stopping other tasks. */
  private final Preemptor preemptor;

  /** Time of the round in milliseconds. */
  private final long nowMillis;

  /** Maximum number of decisions. */
  private final int limit;

  /** Decisions made so far, in the order in which they are to be carried out. */
  private final List<PlacementDecision> decisions = new ArrayList<>();

  /** The next lane of a team, with the values by which teams are ordered. */
  private record Turn(TeamQueue queue, Lane lane, boolean borrowing, double weightedShare) {
    /** Teams within their quota first, then by the smallest weighted share. */
    private static final Comparator<Turn> ORDER = Turn::compare;

    /** Compares without boxing, because every round sorts all teams with pending jobs. */
    private static int compare(Turn one, Turn other) {
      if (one.borrowing != other.borrowing) {
        return one.borrowing ? 1 : -1;
      }
      int order = Double.compare(one.weightedShare, other.weightedShare);
      return order != 0 ? order : one.queue.team().name().compareTo(other.queue.team().name());
    }

    /** Returns whether the lane was blocked or went over quota after the turn was queued. */
    private boolean isStale() {
      return lane.shape().isBlocked() || lane.isOverQuota();
    }
  }

  DecisionRound(
      PlacementState state, WorkerChooser chooser, Preemptor preemptor, long nowMillis, int limit) {
    this.state = state;
    this.chooser = chooser;
    this.preemptor = preemptor;
    this.nowMillis = nowMillis;
    this.limit = limit;
  }

  /** Runs the round and returns its decisions. */
  List<PlacementDecision> run() {
    while (!state.pendingStops().isEmpty() && !isFull()) {
      RunningTask member = state.pendingStops().removeFirst();
      if (PlacementState.isRunning(member)) {
        decisions.add(state.stop(member, member.job()));
      }
    }
    startNominated();
    startReserved();
    state.queue().unblockFitting(state.workers().takeCapacityGained());
    for (PriorityClass priority : PriorityClass.values()) {
      runClass(priority);
    }
    return decisions;
  }

  private boolean isFull() {
    return decisions.size() >= limit;
  }

  /** Returns whether this round may still start {@code count} tasks together. */
  private boolean isWithinLimit(int count) {
    return decisions.isEmpty() ? limit > 0 : decisions.size() + count <= limit;
  }

  private void startNominated() {
    for (Nomination nomination : List.copyOf(state.nominations())) {
      if (!nomination.isPossible()
          || (!nomination.isReady()
              && nowMillis - nomination.decidedAtMillis() > MAX_NOMINATION_MILLIS)) {
        state.cancelNomination(nomination, nowMillis);
      } else if (nomination.isReady() && isWithinLimit(nomination.slots().size())) {
        state.removeNomination(nomination);
        for (int i = 0; i < nomination.slots().size(); i++) {
          WorkerState worker = nomination.slots().get(i);
          start(nomination.job(), nomination.indexes().get(i), worker, nomination.size());
        }
      }
    }
  }

  private void startReserved() {
    for (Reservation reservation : List.copyOf(state.reservations().active())) {
      Job job = reservation.job();
      boolean current =
          job.hasPending()
              && (reservation.count() == 1 || job.pendingCount() == reservation.count());
      Resources total = reservation.size().times(reservation.count());
      boolean withinQuota =
          !PlacementState.isNonPreemptible(job.spec())
              || state.team(job).isNonPreemptibleWithinQuota(total);
      if (!current || !withinQuota || !reservation.isPossible()) {
        state.reservations().remove(reservation);
      } else if (reservation.isReady() && isWithinLimit(reservation.count())) {
        List<WorkerState> slots = WorkerChooser.slots(reservation);
        state.reservations().remove(reservation);
        slots.forEach(worker -> start(job, job.firstPending(), worker, reservation.size()));
      }
    }
  }

  private void runClass(PriorityClass priority) {
    Set<TeamQueue> ready = state.queue().ready(priority);
    if (ready.isEmpty() || isFull()) {
      return;
    }
    PriorityQueue<Turn> turns = new PriorityQueue<>(Turn.ORDER);
    for (TeamQueue queue : List.copyOf(ready)) {
      addTurn(queue, ready, turns);
    }
    while (!turns.isEmpty() && !isFull()) {
      Turn turn = turns.poll();
      if (!turn.isStale() && !attempt(turn.lane())) {
        return;
      }
      addTurn(turn.queue(), ready, turns);
    }
  }

  private void addTurn(TeamQueue queue, Set<TeamQueue> ready, PriorityQueue<Turn> turns) {
    Optional<Lane> lane = queue.next();
    if (lane.isEmpty()) {
      ready.remove(queue);
      return;
    }
    ShapeKey key = lane.get().shape().key();
    boolean borrowing = !queue.team().isWithinQuota(key.size().times(key.gangSize()));
    double weightedShare = queue.team().weightedShare(state.shares().capacity());
    turns.add(new Turn(queue, lane.get(), borrowing, weightedShare));
  }

  /** Tries to place the first job of a lane; returns false if the limit of the round is reached. */
  private boolean attempt(Lane lane) {
    Job job = lane.first().orElseThrow();
    ShapeKey key = lane.shape().key();
    if (job.spec().kind() == WorkloadKind.GANG && !matchesKey(job, key)) {
      lane.removeFirst();
      requeue(job);
      return true;
    }
    Resources total = key.size().times(key.gangSize());
    if (key.nonPreemptible() && !lane.queue().team().isNonPreemptibleWithinQuota(total)) {
      lane.setOverQuota(true);
      return true;
    }
    if (key.gangSize() > 1) {
      return attemptGang(job, lane);
    }
    Optional<WorkerState> worker = chooser.choose(job, lane.shape(), nowMillis);
    if (worker.isPresent()) {
      start(job, job.firstPending(), worker.get(), key.size());
    } else if (!tryPreempt(job, key)) {
      state.queue().block(lane.shape());
    }
    return true;
  }

  private boolean attemptGang(Job job, Lane lane) {
    ShapeKey key = lane.shape().key();
    if (!isWithinLimit(key.gangSize())) {
      return false;
    }
    Optional<List<WorkerState>> slots = chooser.chooseForGang(job, lane.shape());
    if (slots.isPresent()) {
      state.reservations().of(job).ifPresent(state.reservations()::remove);
      slots.get().forEach(worker -> start(job, job.firstPending(), worker, key.size()));
    } else if (!tryPreempt(job, key)) {
      state.queue().block(lane.shape());
    }
    return true;
  }

  private static boolean matchesKey(Job gang, ShapeKey key) {
    return gang.running().isEmpty()
        ? key.gangSize() == gang.pendingCount()
        : key.gangSize() == 1 && !gang.isRestartable();
  }

  private void requeue(Job gang) {
    if (!gang.running().isEmpty() && gang.isRestartable()) {
      state.restartGang(gang);
    } else {
      state.enqueue(gang, nowMillis);
    }
  }

  private boolean tryPreempt(Job job, ShapeKey key) {
    return job.spec().priority() == PriorityClass.URGENT
        && preemptor.preemptForUrgent(job, key, nowMillis, limit - decisions.size(), decisions);
  }

  private void start(Job job, int index, WorkerState worker, Resources size) {
    decisions.add(state.start(job, index, worker, size, nowMillis));
  }
}
