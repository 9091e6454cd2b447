package org.vanillacove.state.api;

/** Whether new tasks may be started on a worker. */
public enum WorkerStatus {
  /** New tasks may be started. */
  ACTIVE,

  /** No new tasks are started; running ones continue to their end. */
  DRAINING,

  /** No new tasks are started, since dissimilar tasks failed on the worker. */
  QUARANTINED,

  /** The worker is gone and none of its tasks runs. */
  LOST
}
