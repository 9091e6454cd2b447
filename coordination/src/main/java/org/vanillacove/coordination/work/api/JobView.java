package org.vanillacove.coordination.work.api;

/** State of a job as callers see it. */
public enum JobView {
  /** No task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks have ended as done. */
  COMPLETED,
  /** A task or gang used up its attempts. */
  FAILED,
  /** The caller cancelled it. */
  CANCELLED
}
