package org.vanillacove.state.placement;

import java.util.Arrays;

/** Sliding window of the last samples of a quantity, with quantiles. */
final class SampleWindow {
  /** Maximum number of samples kept. */
  private static final int CAPACITY = 24;

  /** Samples in order of arrival, as a ring buffer; grows up to the capacity. */
  private float[] samples = new float[4];

  /** The same samples in ascending order. */
  private float[] sorted = new float[4];

  /** Total number of samples added. */
  private int added;

  void add(double sample) {
    if (added == samples.length && added < CAPACITY) {
      samples = Arrays.copyOf(samples, Math.min(CAPACITY, added * 2));
      sorted = Arrays.copyOf(sorted, samples.length);
    }
    int slot = added % samples.length;
    int position =
        added < samples.length
            ? added
            : Arrays.binarySearch(sorted, 0, samples.length, samples[slot]);
    samples[slot] = (float) sample;
    added++;
    updateSorted(position, (float) sample);
  }

  int size() {
    return Math.min(added, samples.length);
  }

  /** Returns the smallest sample that at least a share {@code q} of all samples don't exceed. */
  double quantile(double q) {
    int position = (int) Math.ceil(q * size()) - 1;
    return sorted[Math.clamp(position, 0, size() - 1)];
  }

  /** Replaces the sample at a position of the ascending order and restores the order. */
  private void updateSorted(int vacated, float sample) {
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
