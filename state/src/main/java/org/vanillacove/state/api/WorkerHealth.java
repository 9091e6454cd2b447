package org.vanillacove.state.api;

/**
 * What failures say about a worker that is not trusted fully.
 *
 * @param workerId the worker
 * @param phase whether it takes no tasks or one at a time
 * @param reason what failed there
 */
public record WorkerHealth(String workerId, Phase phase, String reason) {
  /** How far a worker is trusted. */
  public enum Phase {
    /** Takes no tasks for now. */
    QUARANTINED,

    /** Takes one task at a time until some have succeeded. */
    ON_PROBATION
  }
}
