package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/** Makes room for jobs by stopping others, a whole job's worth or none. */
final class RoomMaker {
  /** Part of an owner's wait that stopping others may cost them in lost work, as a divisor. */
  private static final long LOST_WORK_PART = 10;

  /** What is known. */
  private final PlacementState state;

  /** Finds the cheapest tasks to stop. */
  private final PreemptionPlanner planner = new PreemptionPlanner();

  RoomMaker(PlacementState state) {
    this.state = state;
  }

  /** Makes room for urgent work within its quota; returns whether it was decided. */
  boolean forUrgent(
      Job job, ShapeKey key, long nowMillis, int limit, List<PlacementDecision> decisions) {
    if (!state.team(job).isUrgentlyWithin(key.size().times(key.together()))) {
      return false;
    }
    return makeRoom(
        job,
        key,
        t -> t.job().spec().priority() != PriorityClass.URGENT && mayStop(t),
        nowMillis,
        limit,
        decisions);
  }

  /** Takes back borrowed or low-priority room for work within its quota. */
  boolean forOwner(
      Job job, ShapeKey key, long nowMillis, int limit, List<PlacementDecision> decisions) {
    if (!state.team(job).isWithin(key.size().times(key.together()))) {
      return false;
    }
    PriorityClass own = job.spec().priority();
    long mayLoseMillis = (nowMillis - job.submittedAtMillis()) / LOST_WORK_PART;
    return makeRoom(
        job,
        key,
        t -> mayStop(t) && yields(t, own) && lostMillis(t, nowMillis) <= mayLoseMillis,
        nowMillis,
        limit,
        decisions);
  }

  private static long lostMillis(RunningTask task, long nowMillis) {
    return task.job().spec().checkpointable() ? 0 : nowMillis - task.startedAtMillis();
  }

  private boolean yields(RunningTask task, PriorityClass own) {
    PriorityClass other = task.job().spec().priority();
    return other.compareTo(own) > 0 || (other == own && state.team(task.job()).isBorrowing());
  }

  private boolean mayStop(RunningTask task) {
    Job job = task.job();
    boolean kept =
        job.spec().kind() == WorkloadKind.SERVICE && job.spec().priority() != PriorityClass.LOW;
    return !task.isPreempting()
        && !kept
        && !job.isCancelled()
        && job.isStoppable()
        && job.preemptions(task.id().index()) < state.shares().settings().maxPreemptionsPerTask();
  }

  private boolean makeRoom(
      Job job,
      ShapeKey key,
      Predicate<RunningTask> mayStop,
      long nowMillis,
      int limit,
      List<PlacementDecision> decisions) {
    List<WorkerState> slots = new ArrayList<>();
    List<RunningTask> victims = new ArrayList<>();
    while (slots.size() < key.together()) {
      Optional<WorkerState> slot = freeSlot(key);
      if (slot.isEmpty()) {
        Resources capacity = state.shares().capacity();
        Optional<PreemptionPlanner.Plan> plan =
            planner.plan(key, state.workers().all(), mayStop, capacity, nowMillis);
        plan.ifPresent(p -> victims.addAll(p.victims()));
        victims.forEach(victim -> victim.setPreempting(true));
        slot = plan.map(PreemptionPlanner.Plan::worker);
      }
      if (slot.isEmpty() || victims.size() > limit) {
        slots.forEach(worker -> state.workers().unhold(worker, key.size()));
        victims.forEach(victim -> victim.setPreempting(false));
        return false;
      }
      state.workers().hold(slot.get(), key.size());
      slots.add(slot.get());
    }
    nominate(job, key, slots, nowMillis);
    for (RunningTask victim : victims) {
      victim.job().countPreemption(victim.id().index());
      decisions.add(state.stop(victim, job));
    }
    return true;
  }

  private Optional<WorkerState> freeSlot(ShapeKey key) {
    return state.workers().index(key.constraints()).find(key.size(), w -> true);
  }

  private void nominate(Job job, ShapeKey key, List<WorkerState> slots, long nowMillis) {
    List<Integer> indexes = new ArrayList<>();
    for (int i = job.firstPending(); indexes.size() < slots.size(); i = job.nextPending(i + 1)) {
      indexes.add(i);
    }
    state.promise(new Nomination(job, key.size(), indexes, slots, nowMillis));
  }
}
