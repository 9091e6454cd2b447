package org.vanillacove.state.api;

/** What happens to a task whose worker is unreachable. */
public enum LossPolicy {
  /**
   * The lease is renewed only on a grant by the leader; once it has expired, the task is restarted
   * on another worker.
   */
  MOVE,

  /**
   * A grant by a majority of the region suffices to renew the lease; the task is not restarted
   * while it is unreachable.
   */
  KEEP
}
