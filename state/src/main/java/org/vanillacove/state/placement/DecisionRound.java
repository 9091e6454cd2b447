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

/** One round of decisions, bounded in number. */
final class DecisionRound {
  /** Longest time that room is being made before another way is tried, in milliseconds. */
  private static final long NOMINATION_MILLIS = 10_000;

  /** What is known. */
  private final PlacementState state;

  /** Chooses workers with room. */
  private final WorkerChooser chooser;

  /** Makes room by stopping tasks. */
  private final RoomMaker roomMaker;

  /** Time of the round in milliseconds. */
  private final long nowMillis;

  /** Decisions at most. */
  private final int limit;

  /** Decisions so far. */
  private final List<PlacementDecision> decisions = new ArrayList<>();

  /** A team's next lane with what orders it among the teams. */
  private record Turn(TeamQueue queue, Lane lane, boolean borrowing, double ratio) {
    /** Teams within their quota first, then the smallest share for the weight. */
    private static final Comparator<Turn> ORDER = Turn::compare;

    /** Compares without boxing, as each round orders all teams that wait. */
    private static int compare(Turn one, Turn other) {
      if (one.borrowing != other.borrowing) {
        return one.borrowing ? 1 : -1;
      }
      int order = Double.compare(one.ratio, other.ratio);
      return order != 0 ? order : one.queue.team().name().compareTo(other.queue.team().name());
    }

    /** Returns whether the lane was found not to fit since the turn was queued. */
    private boolean isOver() {
      return lane.shape().isBlocked() || lane.isOverQuota();
    }
  }

  DecisionRound(
      PlacementState state, WorkerChooser chooser, RoomMaker roomMaker, long nowMillis, int limit) {
    this.state = state;
    this.chooser = chooser;
    this.roomMaker = roomMaker;
    this.nowMillis = nowMillis;
    this.limit = limit;
  }

  /** Decides and returns the decisions. */
  List<PlacementDecision> run() {
    while (!state.stops().isEmpty() && !isFull()) {
      RunningTask member = state.stops().removeFirst();
      if (PlacementState.isRunning(member)) {
        decisions.add(state.stop(member, member.job()));
      }
    }
    startNominated();
    startReserved();
    state.queue().roomGained(state.workers().takeGained());
    for (PriorityClass priority : PriorityClass.values()) {
      runClass(priority);
    }
    return decisions;
  }

  private boolean isFull() {
    return decisions.size() >= limit;
  }

  /** Returns whether tasks that start together have room in this round. */
  private boolean hasRoomFor(int count) {
    return decisions.isEmpty() ? limit > 0 : decisions.size() + count <= limit;
  }

  private void startNominated() {
    for (Nomination nomination : List.copyOf(state.nominations())) {
      if (!nomination.isPossible()
          || (!nomination.isReady()
              && nowMillis - nomination.decidedAtMillis() > NOMINATION_MILLIS)) {
        state.drop(nomination, nowMillis);
      } else if (nomination.isReady() && hasRoomFor(nomination.slots().size())) {
        state.redeem(nomination);
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
          !PlacementState.isFirm(job.spec()) || state.team(job).isFirmlyWithin(total);
      if (!current || !withinQuota || !reservation.isPossible()) {
        state.reservations().remove(reservation);
      } else if (reservation.isReady() && hasRoomFor(reservation.count())) {
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
      if (!turn.isOver() && !attempt(turn.lane())) {
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
    boolean borrowing = !queue.team().isWithin(key.size().times(key.together()));
    double ratio = queue.team().ratio(state.shares().capacity());
    turns.add(new Turn(queue, lane.get(), borrowing, ratio));
  }

  /** Tries the first job of a lane; returns false if the round has no room for it. */
  private boolean attempt(Lane lane) {
    Job job = lane.first().orElseThrow();
    ShapeKey key = lane.shape().key();
    if (job.spec().kind() == WorkloadKind.GANG && !isAsQueued(job, key)) {
      lane.removeFirst();
      queueAgain(job);
      return true;
    }
    Resources total = key.size().times(key.together());
    if (key.firm() && !lane.queue().team().isFirmlyWithin(total)) {
      lane.setOverQuota(true);
      return true;
    }
    if (key.together() > 1) {
      return attemptTogether(job, lane);
    }
    Optional<WorkerState> worker = chooser.choose(job, lane.shape(), nowMillis);
    if (worker.isPresent()) {
      start(job, job.firstPending(), worker.get(), key.size());
    } else if (!makeRoom(job, key)) {
      state.queue().block(lane.shape());
    }
    return true;
  }

  private boolean attemptTogether(Job job, Lane lane) {
    ShapeKey key = lane.shape().key();
    if (!hasRoomFor(key.together())) {
      return false;
    }
    Optional<List<WorkerState>> slots = chooser.chooseTogether(job, lane.shape());
    if (slots.isPresent()) {
      state.reservations().of(job).ifPresent(state.reservations()::remove);
      slots.get().forEach(worker -> start(job, job.firstPending(), worker, key.size()));
    } else if (!makeRoom(job, key)) {
      state.queue().block(lane.shape());
    }
    return true;
  }

  private static boolean isAsQueued(Job gang, ShapeKey key) {
    return gang.running().isEmpty()
        ? key.together() == gang.pendingCount()
        : key.together() == 1 && !gang.isStoppable();
  }

  private void queueAgain(Job gang) {
    if (!gang.running().isEmpty() && gang.isStoppable()) {
      state.restartTogether(gang);
    } else {
      state.enqueue(gang, nowMillis);
    }
  }

  private boolean makeRoom(Job job, ShapeKey key) {
    return job.spec().priority() == PriorityClass.URGENT
        && roomMaker.forUrgent(job, key, nowMillis, limit - decisions.size(), decisions);
  }

  private void start(Job job, int index, WorkerState worker, Resources size) {
    decisions.add(state.start(job, index, worker, size, nowMillis));
  }
}
