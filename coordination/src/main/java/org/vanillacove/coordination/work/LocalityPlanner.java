package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.vanillacove.state.locality.NearPlaceForecast;
import org.vanillacove.state.locality.NearPlaceForecast.ExpectedEnd;
import org.vanillacove.state.locality.PlaceWaitPolicy;
import org.vanillacove.state.work.PlacementPolicy;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.StepSpec;
import org.vanillacove.state.work.WorkerCapacity;

/**
 * Narrows the workers of a step to those near its data or its group while a wait for such a place
 * pays. Steps that name neither keep all workers.
 */
final class LocalityPlanner {
  /** Logs waits for a near place (prefix {@code jobs:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Share of the run time that a run whose work seems to be done is expected to last still. */
  private static final double MIN_REMAINING_SHARE = 0.1;

  /** Finds the steps of runs, for their run times. */
  private final JobTable jobs;

  /** Counts waits. */
  private final CellMetrics metrics;

  /** Factor on the run time away from the data or the group; 1 while it isn't known. */
  private double remoteFactor = 1;

  /** Creates a planner that lets no step wait until a factor is set. */
  LocalityPlanner(JobTable jobs, CellMetrics metrics) {
    this.jobs = jobs;
    this.metrics = metrics;
  }

  /** Outcome of a wait for a near place; printed by name in logs and metrics. */
  enum WaitOutcome {
    /** The wait began. */
    BEGUN,
    /** All tasks that started got a near place. */
    NEAR,
    /** The wait no longer paid, so that tasks may start elsewhere. */
    GIVEN_UP
  }

  /** Sets the factor on the run time away from the data or the group. */
  void setRemoteFactor(double factor) {
    remoteFactor = factor;
  }

  /** Returns those of {@code sessions} on which waiting tasks of {@code step} may start now. */
  List<WorkerSession> eligible(
      TrackedJob job,
      TrackedStep step,
      QueuePolicy policy,
      List<WorkerSession> sessions,
      long now) {
    StepSpec spec = step.spec();
    if (remoteFactor <= 1 || (spec.dataRack().isEmpty() && !spec.sameRack())) {
      return sessions;
    }
    List<WorkerSession> near =
        spec.dataRack().isPresent()
            ? sessions.stream()
                .filter(each -> each.entry().rack().equals(spec.dataRack().get()))
                .toList()
            : List.of();
    OptionalLong nearIn =
        spec.dataRack().isPresent()
            ? millisUntilDataRack(job, step, near, sessions)
            : millisUntilOneRack(job, step, sessions);
    long slack = job.waiting(step, policy).latestStartMillis() - now;
    PlaceWaitPolicy.View view =
        new PlaceWaitPolicy.View(
            spec.estimateMillis(), remoteFactor, step.nearWaitMillis(now), nearIn, slack);
    boolean waits = nearIn.orElse(0) > 0 && PlaceWaitPolicy.waits(view);
    if (waits && step.markNearWait(now)) {
      metrics.nearWait(WaitOutcome.BEGUN);
      LOG.atInfo().log(
          "jobs: wait for near place job=%s step=%d near_in_ms=%d penalty_ms=%d slack_ms=%d",
          job.id(), step.index(), nearIn.getAsLong(), view.penaltyMillis(), slack);
    } else if (!waits && step.nearWaitMillis(now) > 0) {
      WaitOutcome outcome =
          nearIn.equals(OptionalLong.of(0)) ? WaitOutcome.NEAR : WaitOutcome.GIVEN_UP;
      metrics.nearWait(outcome);
      LOG.atInfo().log(
          "jobs: wait for near place over job=%s step=%d outcome=%s waited_ms=%d",
          job.id(), step.index(), outcome, step.nearWaitMillis(now));
      step.endNearWait();
    }
    return waits ? near : sessions;
  }

  /**
   * Returns the time until the next task, or the whole gang, fits on the rack of the data; 0 also
   * if nothing could start elsewhere, so that there is no choice.
   */
  private OptionalLong millisUntilDataRack(
      TrackedJob job, TrackedStep step, List<WorkerSession> near, List<WorkerSession> sessions) {
    List<WorkerCapacity> nearCapacities = capacities(job, step, near);
    int waiting = step.waitingCount();
    int nearSlots = PlacementPolicy.slots(step.spec(), nearCapacities);
    int allSlots = PlacementPolicy.slots(step.spec(), capacities(job, step, sessions));
    int needed = step.spec().gang() ? waiting : nearSlots + 1;
    if (nearSlots >= waiting || allSlots < needed) {
      return OptionalLong.of(0);
    }
    return NearPlaceForecast.millisUntilFit(step.spec(), needed, nearCapacities, ends(near));
  }

  /** Returns the time until all waiting tasks fit on one rack, 0 if there is no choice. */
  private OptionalLong millisUntilOneRack(
      TrackedJob job, TrackedStep step, List<WorkerSession> sessions) {
    int waiting = step.waitingCount();
    if (PlacementPolicy.slots(step.spec(), capacities(job, step, sessions)) < waiting) {
      return OptionalLong.of(0);
    }
    Collection<List<WorkerSession>> racks =
        sessions.stream().collect(Collectors.groupingBy(each -> each.entry().rack())).values();
    return racks.stream()
        .map(
            rack ->
                NearPlaceForecast.millisUntilFit(
                    step.spec(), waiting, capacities(job, step, rack), ends(rack)))
        .filter(OptionalLong::isPresent)
        .mapToLong(OptionalLong::getAsLong)
        .min();
  }

  private static List<WorkerCapacity> capacities(
      TrackedJob job, TrackedStep step, List<WorkerSession> sessions) {
    return sessions.stream().map(each -> each.capacityFor(job, step)).toList();
  }

  private List<ExpectedEnd> ends(List<WorkerSession> sessions) {
    List<ExpectedEnd> ends = new ArrayList<>();
    for (WorkerSession session : sessions) {
      for (TaskRun run : session.runs()) {
        jobs.find(run.task().job())
            .map(job -> job.steps().get(run.task().step()).spec().estimateMillis())
            .ifPresent(
                estimate ->
                    ends.add(
                        new ExpectedEnd(session.id(), remaining(run, estimate), run.demand())));
      }
    }
    return ends;
  }

  private static long remaining(TaskRun run, long estimateMillis) {
    return Math.round(estimateMillis * Math.max(MIN_REMAINING_SHARE, 1 - run.doneShare()));
  }
}
