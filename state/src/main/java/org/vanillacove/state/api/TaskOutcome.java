package org.vanillacove.state.api;

/** How one attempt of a task ended. */
public enum TaskOutcome {
  /** Ended by itself with success. */
  SUCCEEDED,

  /** Ended by itself with a failure. */
  FAILED,

  /** Stopped in favour of more urgent work. */
  PREEMPTED,

  /** Stopped on the caller's request. */
  CANCELLED,

  /** Its lease lapsed for certain, the attempt is not running. */
  LOST,

  /** The start never took effect. */
  NOT_RUN,

  /** Whether the attempt took effect cannot be told. */
  UNKNOWN
}
