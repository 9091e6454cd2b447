package org.vanillacove.state.estimate;

/**
 * Distribution of the ratio of actual to declared run time. Counts in logarithmic classes, of which
 * older ones fade, so that one outlier moves no quantile by more than its share.
 */
public final class RunTimeRatios {
  /** Classes for each doubling of the ratio. */
  private static final int CLASSES_PER_DOUBLING = 4;

  /** Doublings below 1 that are told apart. */
  private static final int DOUBLINGS_BELOW = 3;

  /** Doublings above 1 that are told apart. */
  private static final int DOUBLINGS_ABOVE = 6;

  /** Number of classes. */
  private static final int CLASSES = (DOUBLINGS_BELOW + DOUBLINGS_ABOVE) * CLASSES_PER_DOUBLING + 1;

  /** Total weight at which all counts are halved. */
  private static final double MAX_WEIGHT = 2_048;

  /** Number of observations as which the assumed distribution counts. */
  private static final double PRIOR_WEIGHT = 4;

  /**
   * Exponent of the assumed share of runs that last longer than a multiple of their declaration.
   */
  private static final double PRIOR_EXPONENT = 3;

  /** Weight of the observations in each class. */
  private final double[] counts = new double[CLASSES];

  /** Total weight of the observations. */
  private double weight;

  /** Records the ratio of a run that ended by itself. */
  public void observe(double ratio) {
    if (!(ratio > 0)) {
      return;
    }
    if (weight >= MAX_WEIGHT) {
      weight /= 2;
      for (int i = 0; i < CLASSES; i++) {
        counts[i] /= 2;
      }
    }
    counts[classOf(ratio)]++;
    weight++;
  }

  /** Returns the weight of the observations. */
  public double weight() {
    return weight;
  }

  /**
   * Returns the share of runs that last longer than {@code ratio} times their declaration; above 0,
   * and close to an assumed heavy tail while few runs have been observed.
   */
  public double shareAbove(double ratio) {
    double above = 0;
    // Runs in the class of the ratio itself may still last longer.
    for (int i = classOf(ratio); i < CLASSES; i++) {
      above += counts[i];
    }
    double assumed = Math.pow(Math.max(1, ratio), -PRIOR_EXPONENT);
    return (above + PRIOR_WEIGHT * assumed) / (weight + PRIOR_WEIGHT);
  }

  /**
   * Returns the ratio that a share {@code q} of the runs doesn't exceed; 1 with no observations.
   */
  public double quantile(double q) {
    // The declaration counts as an observation until there are some.
    double limit = q * (weight + PRIOR_WEIGHT);
    double below = 0;
    int declared = classOf(1);
    for (int i = 0; i < CLASSES; i++) {
      below += counts[i] + (i == declared ? PRIOR_WEIGHT : 0);
      if (below >= limit) {
        return ratioOf(i);
      }
    }
    return ratioOf(CLASSES - 1);
  }

  /** Returns the mean ratio; 1 with no observations. */
  public double mean() {
    double sum = PRIOR_WEIGHT;
    for (int i = 0; i < CLASSES; i++) {
      sum += counts[i] * ratioOf(i);
    }
    return sum / (weight + PRIOR_WEIGHT);
  }

  private static int classOf(double ratio) {
    double doublings = Math.log(ratio) / Math.log(2);
    int index = (int) Math.round((doublings + DOUBLINGS_BELOW) * CLASSES_PER_DOUBLING);
    return Math.clamp(index, 0, CLASSES - 1);
  }

  private static double ratioOf(int index) {
    return Math.pow(2, (double) index / CLASSES_PER_DOUBLING - DOUBLINGS_BELOW);
  }
}
