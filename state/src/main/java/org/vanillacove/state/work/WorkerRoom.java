package org.vanillacove.state.work;

import java.util.Set;
import org.vanillacove.state.api.Resources;

/**
 * A worker as placement sees it.
 *
 * @param id identifier of the worker
 * @param rack its rack, empty if unknown
 * @param labels its labels
 * @param capacity all its resources
 * @param free resources that no run holds or may still take
 * @param sameStep tasks of the step in question that it already runs
 */
public record WorkerRoom(
    String id, String rack, Set<String> labels, Resources capacity, Resources free, int sameStep) {

  /** Returns how many tasks of {@code step} could start here now. */
  public int slots(StepSpec step) {
    if (step.requiredLabel().isPresent() && !labels.contains(step.requiredLabel().get())) {
      return 0;
    }
    Resources demand = step.demand();
    long slots = step.count();
    slots = limit(slots, free.cpuMillis(), demand.cpuMillis());
    slots = limit(slots, free.memoryMib(), demand.memoryMib());
    slots = limit(slots, free.accelerators(), demand.accelerators());
    if (step.maxPerWorker() > 0) {
      slots = Math.min(slots, step.maxPerWorker() - sameStep);
    }
    return (int) Math.max(0, slots);
  }

  /** Returns the largest share of a resource that would be in use after {@code demand}. */
  public double fillAfter(Resources demand) {
    double cpu = share(free.cpuMillis() - demand.cpuMillis(), capacity.cpuMillis());
    double memory = share(free.memoryMib() - demand.memoryMib(), capacity.memoryMib());
    return 1 - Math.min(cpu, memory);
  }

  private static long limit(long slots, long free, long demand) {
    return demand <= 0 ? slots : Math.min(slots, free / demand);
  }

  private static double share(long part, long whole) {
    return whole <= 0 ? 0 : (double) part / whole;
  }
}
