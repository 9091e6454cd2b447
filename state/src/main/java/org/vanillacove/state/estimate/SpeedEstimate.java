package org.vanillacove.state.estimate;

/**
 * Speed of a worker relative to declared run times: the geometric mean of observations, of which
 * older ones fade, shrunk to 1 while there are few. A single observation is inaccurate, as it
 * contains the error of the declaration.
 */
public final class SpeedEstimate {
  /** Speeds beyond this factor count as this factor, so that one outlier has little effect. */
  private static final double MAX_FACTOR = 2.5;

  /** Number of observations as which the assumed speed of 1 counts. */
  private static final double PRIOR_WEIGHT = 1.5;

  /** Maximum total weight of the observations. */
  private static final double MAX_WEIGHT = 16;

  /** Weighted sum of the logarithms of the observed speeds. */
  private double sum;

  /** Weight of the observations. */
  private double weight;

  /** Records an observed speed; ignored unless above 0. */
  public void observe(double speed) {
    if (!(speed > 0)) {
      return;
    }
    double kept = Math.min(1, (MAX_WEIGHT - 1) / Math.max(1, weight));
    sum = sum * kept + Math.log(Math.clamp(speed, 1 / MAX_FACTOR, MAX_FACTOR));
    weight = weight * kept + 1;
  }

  /** Returns the estimated speed; 1 with no observations. */
  public double speed() {
    return Math.exp(sum / (weight + PRIOR_WEIGHT));
  }
}
