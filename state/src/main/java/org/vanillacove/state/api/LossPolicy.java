package org.vanillacove.state.api;

/** What happens to tasks that cannot be reached. */
public enum LossPolicy {
  /**
   * The lease is renewed only on the leader's word, the task is restarted elsewhere after the
   * lapse.
   */
  MOVE,

  /** The region's word suffices for renewal, the task is not restarted while unreachable. */
  KEEP
}
