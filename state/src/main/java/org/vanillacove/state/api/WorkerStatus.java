package org.vanillacove.state.api;

/** Whether a worker takes new tasks. */
public enum WorkerStatus {
  /** Takes new tasks. */
  ACTIVE,

  /** Takes no new tasks, running ones end. */
  DRAINING,

  /** Takes no new tasks after it failed unlike tasks. */
  QUARANTINED,

  /** Is gone, its tasks are not running. */
  LOST
}
