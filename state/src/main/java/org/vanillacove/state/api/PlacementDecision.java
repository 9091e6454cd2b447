package org.vanillacove.state.api;

/** A decision of a {@link Placer}. */
public sealed interface PlacementDecision {
  /**
   * Starts a task on a worker.
   *
   * @param task the task to start
   * @param workerId worker whose capacity is committed to the task
   */
  record Start(TaskId task, String workerId) implements PlacementDecision {}

  /**
   * Stops a running task to free its capacity for more urgent work.
   *
   * @param task the task to stop
   * @param workerId worker it runs on
   * @param checkpoint whether the task is checkpointed before it stops
   * @param inFavourOf job that needs the capacity
   */
  record Preempt(TaskId task, String workerId, boolean checkpoint, String inFavourOf)
      implements PlacementDecision {}
}
