package org.vanillacove.state.api;

/** Whether a task may be started again once an earlier attempt may have run. */
public enum RerunPolicy {
  /** Never started again once a start may have taken effect. */
  AT_MOST_ONCE,

  /** The task is idempotent and may be started again. */
  RERUN
}
