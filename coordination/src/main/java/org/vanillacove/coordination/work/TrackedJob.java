package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.List;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.ServiceOrder;
import org.vanillacove.state.work.StepSpec;

/** A submitted job and its progress. */
final class TrackedJob {
  /** The job as submitted. */
  private final JobSpec spec;

  /**
   * Monotonic time of its first submission in milliseconds; estimated if another host accepted it.
   */
  private final long submittedMillis;

  /** Time from submission within which the job earns full credit, in milliseconds. */
  private final long objectiveMillis;

  /** Progress of the steps, in the order of the specification. */
  private final List<TrackedStep> steps = new ArrayList<>();

  /** Current stage, from acceptance to the durable end. */
  private Stage stage;

  /** Whether any task has started at least once. */
  private boolean started;

  /** Whether its organisation sent it beyond its rate; not recorded, so unset after a takeover. */
  private boolean excess;

  /** Whether a former leader accepted it, so that runs unknown to this leader may exist. */
  private final boolean inherited;

  /** Creates a job of which no task has run. */
  TrackedJob(
      JobSpec spec, long submittedMillis, long objectiveMillis, Stage stage, boolean inherited) {
    this.spec = spec;
    this.submittedMillis = submittedMillis;
    this.objectiveMillis = objectiveMillis;
    this.stage = stage;
    this.inherited = inherited;
    List<StepSpec> specs = spec.steps();
    for (int i = 0; i < specs.size(); i++) {
      steps.add(new TrackedStep(spec.id(), i, specs.get(i)));
    }
  }

  /** Stage of a job; stages of ended jobs are stored as outcomes. */
  enum Stage {
    /** The acceptance is not durable yet. */
    ACCEPTING,
    /** Accepted; tasks run or wait. */
    OPEN,
    /** Cancelled by the caller; the end is not durable yet. */
    CANCELLING,
    /** All tasks are done; the end is not durable yet. */
    COMPLETING,
    /** A task used up its attempts; the end is not durable yet. */
    FAILING,
    /** Durable end: all tasks are done. */
    COMPLETED,
    /** Durable end: a task used up its attempts. */
    FAILED,
    /** Durable end: cancelled by the caller. */
    CANCELLED;

    boolean isFinal() {
      return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
  }

  JobSpec spec() {
    return spec;
  }

  String id() {
    return spec.id();
  }

  List<TrackedStep> steps() {
    return steps;
  }

  Stage stage() {
    return stage;
  }

  void setStage(Stage next) {
    stage = next;
  }

  boolean isStarted() {
    return started;
  }

  void markStarted() {
    started = true;
  }

  boolean isExcess() {
    return excess;
  }

  void markExcess() {
    excess = true;
  }

  boolean isInherited() {
    return inherited;
  }

  long submittedMillis() {
    return submittedMillis;
  }

  long objectiveMillis() {
    return objectiveMillis;
  }

  /** Returns whether all predecessors of {@code step} are done. */
  boolean isReady(TrackedStep step) {
    for (int previous : step.spec().after()) {
      if (!steps.get(previous).isDone()) {
        return false;
      }
    }
    return true;
  }

  boolean isDone() {
    return steps.stream().allMatch(TrackedStep::isDone);
  }

  /** Returns the highest number of failures of a task that isn't done. */
  int maxFailures() {
    return steps.stream()
        .flatMap(step -> step.tasks().stream())
        .filter(task -> !task.isDone())
        .mapToInt(TrackedTask::failures)
        .max()
        .orElse(0);
  }

  /** Returns the estimated run time of {@code step} and its direct unfinished successors. */
  long remainingMillis(TrackedStep step) {
    long remaining = step.spec().estimateMillis();
    for (TrackedStep later : steps.subList(step.index() + 1, steps.size())) {
      if (!later.isDone() && later.spec().after().contains(step.index())) {
        remaining += later.spec().estimateMillis();
      }
    }
    return remaining;
  }

  /** Returns whether the job is accepted or being accepted and its end hasn't been decided. */
  boolean isOpen() {
    return stage == Stage.ACCEPTING || stage == Stage.OPEN;
  }

  /** Returns the values by which {@code step} is ordered among waiting steps. */
  ServiceOrder.WaitingStep waiting(TrackedStep step, QueuePolicy policy) {
    return new ServiceOrder.WaitingStep(
        policy.priority(), submittedMillis, objectiveMillis, remainingMillis(step));
  }

  /** Returns the state shown to callers. */
  JobView view() {
    return view(stage, started);
  }

  /** Returns the state shown to callers for a job in {@code stage}. */
  static JobView view(Stage stage, boolean started) {
    return switch (stage) {
      case COMPLETED -> JobView.COMPLETED;
      case FAILED -> JobView.FAILED;
      case CANCELLED -> JobView.CANCELLED;
      default -> started ? JobView.RUNNING : JobView.QUEUED;
    };
  }
}
