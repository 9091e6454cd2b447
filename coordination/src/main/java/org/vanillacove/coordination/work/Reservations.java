package org.vanillacove.coordination.work;

/** Counts the runs that reserve capacity of any worker. */
interface Reservations {
  /** Called when a run reserves capacity: before its start command, or when it is found. */
  void reserved(TaskRun run);

  /** Called when a run no longer reserves capacity, since it certainly doesn't run any more. */
  void released(TaskRun run);
}
