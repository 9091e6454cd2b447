package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/** Frees capacity for jobs by preempting others, either for all tasks of a job or for none. */
final class Preemptor {
  /** A reclaimed task may lose at most the time that the job has waited, divided by this number. */
  private static final long LOST_WORK_DIVISOR = 10;

  /** Workers, jobs and quotas that preemption reads and updates. */
  private final PlacementState state;

  /** Finds the cheapest tasks to stop. */
  private final PreemptionPlanner planner = new PreemptionPlanner();

  Preemptor(PlacementState state) {
    this.state = state;
  }

  /**
   * Preempts tasks of lower priority for an urgent job within the quota of its team.
   *
   * @return whether capacity for all its tasks is free or being freed
   */
  boolean preemptForUrgent(
      Job job, ShapeKey key, long nowMillis, int limit, List<PlacementDecision> decisions) {
    if (!state.team(job).isUrgentWithinQuota(key.size().times(key.gangSize()))) {
      return false;
    }
    return freeCapacity(
        job,
        key,
        t -> t.job().spec().priority() != PriorityClass.URGENT && mayPreempt(t),
        nowMillis,
        limit,
        decisions);
  }

  /**
   * Preempts tasks of lower priority, or of teams over their quota, for a job within its quota.
   *
   * @return whether capacity for all its tasks is free or being freed
   */
  boolean reclaimBorrowed(
      Job job, ShapeKey key, long nowMillis, int limit, List<PlacementDecision> decisions) {
    if (!state.team(job).isWithinQuota(key.size().times(key.gangSize()))) {
      return false;
    }
    PriorityClass own = job.spec().priority();
    long maxLostMillis = (nowMillis - job.submittedAtMillis()) / LOST_WORK_DIVISOR;
    return freeCapacity(
        job,
        key,
        t -> mayPreempt(t) && isReclaimable(t, own) && lostMillis(t, nowMillis) <= maxLostMillis,
        nowMillis,
        limit,
        decisions);
  }

  private static long lostMillis(RunningTask task, long nowMillis) {
    return task.job().spec().checkpointable() ? 0 : nowMillis - task.startedAtMillis();
  }

  private boolean isReclaimable(RunningTask task, PriorityClass own) {
    PriorityClass other = task.job().spec().priority();
    return other.compareTo(own) > 0 || (other == own && state.team(task.job()).isBorrowing());
  }

  private boolean mayPreempt(RunningTask task) {
    Job job = task.job();
    boolean protectedService =
        job.spec().kind() == WorkloadKind.SERVICE && job.spec().priority() != PriorityClass.LOW;
    return !task.isPreempting()
        && !protectedService
        && !job.isCancelled()
        && job.isRestartable()
        && job.preemptions(task.id().index()) < state.shares().settings().maxPreemptionsPerTask();
  }

  private boolean freeCapacity(
      Job job,
      ShapeKey key,
      Predicate<RunningTask> mayPreempt,
      long nowMillis,
      int limit,
      List<PlacementDecision> decisions) {
    List<WorkerState> slots = new ArrayList<>();
    List<RunningTask> victims = new ArrayList<>();
    while (slots.size() < key.gangSize()) {
      Optional<WorkerState> slot = findFreeSlot(key);
      if (slot.isEmpty()) {
        Resources capacity = state.shares().capacity();
        Optional<PreemptionPlanner.Plan> plan =
            planner.plan(key, state.workers().all(), mayPreempt, capacity, nowMillis);
        plan.ifPresent(p -> victims.addAll(p.victims()));
        victims.forEach(victim -> victim.setPreempting(true));
        slot = plan.map(PreemptionPlanner.Plan::worker);
      }
      if (slot.isEmpty() || victims.size() > limit) {
        slots.forEach(worker -> state.workers().unreserve(worker, key.size()));
        victims.forEach(victim -> victim.setPreempting(false));
        return false;
      }
      state.workers().reserve(slot.get(), key.size());
      slots.add(slot.get());
    }
    nominate(job, key, slots, nowMillis);
    for (RunningTask victim : victims) {
      victim.job().countPreemption(victim.id().index());
      decisions.add(state.stop(victim, job));
    }
    return true;
  }

  private Optional<WorkerState> findFreeSlot(ShapeKey key) {
    return state.workers().index(key.constraints()).find(key.size(), w -> true);
  }

  private void nominate(Job job, ShapeKey key, List<WorkerState> slots, long nowMillis) {
    List<Integer> indexes = new ArrayList<>();
    for (int i = job.firstPending(); indexes.size() < slots.size(); i = job.nextPending(i + 1)) {
      indexes.add(i);
    }
    state.addNomination(new Nomination(job, key.size(), indexes, slots, nowMillis));
  }
}
