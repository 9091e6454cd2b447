package org.vanillacove.bench.policy;

/** Rounds the printed figures. */
public final class Figures {
  /** Factor that shifts four decimal places before the point. */
  private static final double ROUNDING_FACTOR = 10_000;

  private Figures() {}

  /** Returns {@code value} rounded to four decimal places. */
  public static double rounded(double value) {
    return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
  }
}
