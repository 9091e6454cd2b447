package org.vanillacove.bench.policy;

/** Forms of figures that are printed. */
public final class Figures {
  /** Steps in one, of printed figures. */
  private static final double STEPS = 10_000;

  private Figures() {}

  /** Returns {@code value} to four places. */
  public static double rounded(double value) {
    return Math.round(value * STEPS) / STEPS;
  }
}
