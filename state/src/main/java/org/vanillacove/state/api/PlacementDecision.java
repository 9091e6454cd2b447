package org.vanillacove.state.api;

/** A decision of a {@link Placer}. */
public sealed interface PlacementDecision {
  /**
   * Start a task on a worker.
   *
   * @param task the task
   * @param workerId the worker
   */
  record Start(TaskId task, String workerId) implements PlacementDecision {}

  /**
   * Stop a running task in favour of more urgent work.
   *
   * @param task the task to stop
   * @param workerId worker it runs on
   * @param checkpoint whether it is checkpointed first
   * @param inFavourOf job that needs the room
   */
  record Preempt(TaskId task, String workerId, boolean checkpoint, String inFavourOf)
      implements PlacementDecision {}
}
