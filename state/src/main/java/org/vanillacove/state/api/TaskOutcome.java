package org.vanillacove.state.api;

/** How one attempt of a task ended. */
public enum TaskOutcome {
  /** The attempt ended by itself, with success. */
  SUCCEEDED,

  /** The attempt ended by itself, with a failure. */
  FAILED,

  /** The attempt was stopped to free capacity for more urgent work. */
  PREEMPTED,

  /** The attempt was stopped at the caller's request. */
  CANCELLED,

  /** The lease of the attempt has expired for certain, so it no longer runs. */
  LOST,

  /** The start command never took effect. */
  NOT_RUN,

  /** It is unknown whether the attempt took effect. */
  UNKNOWN
}
