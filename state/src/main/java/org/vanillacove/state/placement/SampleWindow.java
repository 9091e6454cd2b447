package org.vanillacove.state.placement;

import java.util.Arrays;

/** The last samples of a quantity. */
final class SampleWindow {
  /** Samples kept. */
  private static final int CAPACITY = 24;

  /** Samples in a ring. */
  private float[] samples = new float[4];

  /** Samples in rising order, null if they have changed. */
  private float[] sorted;

  /** Samples seen. */
  private int seen;

  void add(double sample) {
    if (seen == samples.length && seen < CAPACITY) {
      samples = Arrays.copyOf(samples, Math.min(CAPACITY, seen * 2));
    }
    samples[seen % samples.length] = (float) sample;
    seen++;
    sorted = null;
  }

  int size() {
    return Math.min(seen, samples.length);
  }

  /** Returns the smallest sample that at least a share {@code q} of the samples do not pass. */
  double quantile(double q) {
    if (sorted == null) {
      sorted = Arrays.copyOf(samples, size());
      Arrays.sort(sorted);
    }
    int position = (int) Math.ceil(q * sorted.length) - 1;
    return sorted[Math.clamp(position, 0, sorted.length - 1)];
  }
}
