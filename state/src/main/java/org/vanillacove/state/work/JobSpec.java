package org.vanillacove.state.work;

import java.util.List;

/**
 * A job as it was handed in.
 *
 * @param id identifier chosen by the caller
 * @param queue name of the queue
 * @param payload opaque text passed to each task
 * @param steps the steps, each after its predecessors
 */
public record JobSpec(String id, String queue, String payload, List<StepSpec> steps) {
  /** Copies the steps. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /** Returns the declared work in milliseconds of one core. */
  public long coreMillis() {
    return steps.stream().mapToLong(StepSpec::coreMillis).sum();
  }

  /** Returns the declared length of the longest chain of steps in milliseconds. */
  public long chainMillis() {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < ends.length; i++) {
      long start = 0;
      for (int previous : steps.get(i).after()) {
        start = Math.max(start, ends[previous]);
      }
      ends[i] = start + steps.get(i).estimateMillis();
      longest = Math.max(longest, ends[i]);
    }
    return longest;
  }
}
