package org.vanillacove.coordination.work.api;

/** State of a job as shown to callers. */
public enum JobView {
  /** No task has started. */
  QUEUED,
  /** At least one task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task or gang has used up its attempts. */
  FAILED,
  /** The caller cancelled it. */
  CANCELLED
}
