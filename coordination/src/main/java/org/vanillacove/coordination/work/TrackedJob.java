package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.List;
import org.vanillacove.coordination.work.api.JobView;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.ServiceOrder;
import org.vanillacove.state.work.StepSpec;

/** A job that was handed in, and its progress. */
final class TrackedJob {
  /** What was handed in. */
  private final JobSpec spec;

  /** Monotonic time of its first submission here, in milliseconds. */
  private final long submittedMillis;

  /** Time from submission for full credit. */
  private final long objectiveMillis;

  /** Its steps. */
  private final List<TrackedStep> steps = new ArrayList<>();

  /** How far it is. */
  private Stage stage;

  /** Whether a task has started. */
  private boolean started;

  /** Whether another host led when it was accepted, so that unknown runs of it may exist. */
  private final boolean inherited;

  /** Creates a job none of whose tasks has run. */
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

  /** How far a job is. */
  enum Stage {
    /** Its acceptance is not durable yet. */
    ACCEPTING,
    /** It is accepted and runs or waits. */
    OPEN,
    /** It is being cancelled; that is not durable yet. */
    CANCELLING,
    /** All tasks are done; that is not durable yet. */
    COMPLETING,
    /** Its attempts are used up; that is not durable yet. */
    FAILING,
    /** Durable end: all tasks are done. */
    COMPLETED,
    /** Durable end: its attempts are used up. */
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

  void stage(Stage next) {
    stage = next;
  }

  boolean isStarted() {
    return started;
  }

  void started() {
    started = true;
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
    return step.spec().after().stream().allMatch(previous -> steps.get(previous).isDone());
  }

  boolean isDone() {
    return steps.stream().allMatch(TrackedStep::isDone);
  }

  /** Returns the declared time that the steps from {@code step} on still take. */
  long remainingMillis(TrackedStep step) {
    long remaining = step.spec().estimateMillis();
    for (TrackedStep later : steps.subList(step.index() + 1, steps.size())) {
      if (!later.isDone() && later.spec().after().contains(step.index())) {
        remaining += later.spec().estimateMillis();
      }
    }
    return remaining;
  }

  /** Returns whether it is accepted or being accepted, and not being ended. */
  boolean isOpen() {
    return stage == Stage.ACCEPTING || stage == Stage.OPEN;
  }

  /** Returns what decides the turn of {@code step}. */
  ServiceOrder.Waiting waiting(TrackedStep step, QueuePolicy policy) {
    return new ServiceOrder.Waiting(
        policy.priority(), submittedMillis, objectiveMillis, remainingMillis(step));
  }

  /** Returns the declared work that has not started, in milliseconds of one core. */
  long waitingCoreMillis() {
    long total = 0;
    for (TrackedStep step : steps) {
      long waiting = step.tasks().stream().filter(TrackedTask::isWaiting).count();
      total += step.spec().coreMillis() / step.spec().count() * waiting;
    }
    return total;
  }

  /** Returns the state that callers see. */
  JobView view() {
    return view(stage, started);
  }

  /** Returns the state that callers see of a job in {@code stage}. */
  static JobView view(Stage stage, boolean started) {
    return switch (stage) {
      case COMPLETED -> JobView.COMPLETED;
      case FAILED -> JobView.FAILED;
      case CANCELLED -> JobView.CANCELLED;
      default -> started ? JobView.RUNNING : JobView.QUEUED;
    };
  }
}
