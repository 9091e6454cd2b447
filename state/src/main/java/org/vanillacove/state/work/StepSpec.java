package org.vanillacove.state.work;

import java.util.List;
import java.util.Optional;
import org.vanillacove.state.api.Resources;

/**
 * What one step of a job asks for.
 *
 * @param count number of tasks
 * @param demand resources of one task
 * @param estimateMillis declared run time of one task; often far from the truth
 * @param after indexes of the steps that must have ended before
 * @param checkpoints whether tasks save their progress
 * @param gang whether the tasks only work together
 * @param sameRack whether the tasks are slower when spread over racks
 * @param requiredLabel label that a worker must have
 * @param dataRack rack on which the tasks run at full speed
 * @param maxPerWorker most tasks of the step on one worker, 0 for no limit
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
  /** Thousandths of a core in a core. */
  private static final long MILLIS_PER_CORE = 1000;

  /** Copies the list of predecessors. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /** Returns the declared work of the whole step in milliseconds of one core. */
  public long coreMillis() {
    return demand.cpuMillis() * estimateMillis / MILLIS_PER_CORE * count;
  }
}
