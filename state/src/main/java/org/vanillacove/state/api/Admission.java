package org.vanillacove.state.api;

/** Result of checking whether the workers of the cell can ever run a job. */
public sealed interface Admission {
  /** The job fits the workers, now or once capacity is free. */
  record Admitted() implements Admission {}

  /**
   * The current workers could not run the job even if all their capacity were free.
   *
   * @param constraint constraint that cannot be satisfied
   * @param nearest description of the closest request that would fit, for people
   */
  record NeverFits(String constraint, String nearest) implements Admission {}
}
