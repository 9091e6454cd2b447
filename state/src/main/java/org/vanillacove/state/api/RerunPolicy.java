package org.vanillacove.state.api;

/** Whether a task may be started again after it may have run. */
public enum RerunPolicy {
  /** Never started again once a start may have taken effect. */
  AT_MOST_ONCE,

  /** Idempotent, may be started again. */
  RERUN
}
