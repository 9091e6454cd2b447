package org.vanillacove.state.work;

import java.util.List;
import java.util.Optional;

/**
 * A job as submitted.
 *
 * @param id identifier chosen by the caller
 * @param queue name of the queue
 * @param payload opaque text passed to each task
 * @param steps steps of the job, each after its predecessors
 * @param organisation name of the organisation that submitted it; empty if the queue needs no key
 */
public record JobSpec(
    String id, String queue, String payload, List<StepSpec> steps, Optional<String> organisation) {
  /** Copies the steps, so that the specification is immutable. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /** Creates a job that belongs to no organisation. */
  public JobSpec(String id, String queue, String payload, List<StepSpec> steps) {
    this(id, queue, payload, steps, Optional.empty());
  }

  /** Returns this job as one of {@code name}. */
  public JobSpec ofOrganisation(String name) {
    return new JobSpec(id, queue, payload, steps, Optional.of(name));
  }

  /** Returns the declared work of all steps in milliseconds of one core. */
  public long coreMillis() {
    return steps.stream().mapToLong(StepSpec::coreMillis).sum();
  }

  /** Returns the declared run time of the critical path, in milliseconds. */
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
