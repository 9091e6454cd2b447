package org.vanillacove.state.placement;

import java.util.Arrays;

/** The last samples of a quantity. */
final class SampleWindow {
  /** Samples kept. */
  private static final int CAPACITY = 24;

  /** Samples in a ring. */
  private float[] samples = new float[4];

  /** The same samples in rising order. */
  private float[] sorted = new float[4];

  /** Samples seen. */
  private int seen;

  void add(double sample) {
    if (seen == samples.length && seen < CAPACITY) {
      samples = Arrays.copyOf(samples, Math.min(CAPACITY, seen * 2));
      sorted = Arrays.copyOf(sorted, samples.length);
    }
    int slot = seen % samples.length;
    int position =
        seen < samples.length
            ? seen
            : Arrays.binarySearch(sorted, 0, samples.length, samples[slot]);
    samples[slot] = (float) sample;
    seen++;
    place(position, (float) sample);
  }

  int size() {
    return Math.min(seen, samples.length);
  }

  /** Returns the smallest sample that at least a share {@code q} of the samples do not pass. */
  double quantile(double q) {
    int position = (int) Math.ceil(q * size()) - 1;
    return sorted[Math.clamp(position, 0, size() - 1)];
  }

  /** Puts a sample in the place of the one that was at a position of the rising order. */
  private void place(int vacated, float sample) {
    int position = vacated;
    while (position > 0 && sorted[position - 1] > sample) {
      sorted[position] = sorted[position - 1];
      position--;
    }
    while (position < size() - 1 && sorted[position + 1] < sample) {
      sorted[position] = sorted[position + 1];
      position++;
    }
    sorted[position] = sample;
  }
}
