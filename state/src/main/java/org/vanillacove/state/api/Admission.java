package org.vanillacove.state.api;

/** Whether a job can be admitted. */
public sealed interface Admission {
  /** The job can run, now or later. */
  record Admitted() implements Admission {}

  /**
   * The job can never run on this cell as it is.
   *
   * @param constraint the constraint that fails
   * @param nearest the nearest shape that would fit, readable
   */
  record NeverFits(String constraint, String nearest) implements Admission {}
}
