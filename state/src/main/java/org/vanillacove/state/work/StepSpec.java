package org.vanillacove.state.work;

import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.Resources;

/**
 * Tasks, demand and constraints of one step of a job.
 *
 * @param count number of tasks
 * @param demand resources of one task
 * @param estimateMillis declared run time of one task; often inaccurate
 * @param after indexes of the steps that must be done before
 * @param checkpoints whether the tasks save checkpoints
 * @param gang whether the tasks can only run at the same time
 * @param sameRack whether the tasks are slower when spread over racks
 * @param requiredLabel label that a worker must have
 * @param dataRack rack on which the tasks run at full speed
 * @param maxPerWorker maximum tasks of the step on one worker, 0 for no limit
 */
public record StepSpec(
    int count,
    Resources demand,
    long estimateMillis,
    List<Integer> after,
    boolean checkpoints,
    boolean gang,
    boolean sameRack,
    Optional<String> requiredLabel,
    Optional<String> dataRack,
    int maxPerWorker) {
  /** Number of CPU millis in one core. */
  private static final long MILLIS_PER_CORE = 1000;

  /** Copies the predecessors, so that the specification is immutable. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /** Returns whether a run on {@code rack} proceeds at the speed of its worker alone. */
  public boolean isSpeedComparable(String rack) {
    return !sameRack && dataRack.map(rack::equals).orElse(true);
  }

  /** Returns the declared work of the whole step in milliseconds of one core, at most MAX_VALUE. */
  public long coreMillis() {
    return (long) ((double) demand.cpuMillis() * estimateMillis / MILLIS_PER_CORE * count);
  }
}
