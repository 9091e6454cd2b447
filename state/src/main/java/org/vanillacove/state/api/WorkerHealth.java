package org.vanillacove.state.api;

/**
 * Restriction of a worker on which tasks have failed.
 *
 * @param workerId the worker
 * @param phase whether the worker is given no tasks or one at a time
 * @param reason which failures led to the restriction
 */
public record WorkerHealth(String workerId, Phase phase, String reason) {
  /** Degree of the restriction. */
  public enum Phase {
    /** The worker is given no tasks for a while. */
    QUARANTINED,

    /** The worker is given one task at a time until enough have succeeded. */
    ON_PROBATION
  }
}
