package org.vanillacove.state.work;

import java.util.Set;
import org.vanillacove.state.api.Resources;

/**
 * Capacity of a worker from the view of one step.
 *
 * @param id identifier of the worker
 * @param rack rack of the worker, empty if unknown
 * @param labels labels of the worker
 * @param capacity total resources
 * @param free resources not used by any run and not reserved for a start in progress
 * @param tasksOfStep number of tasks of the step that already run here
 * @param speed estimated speed relative to declared run times; 1 if nothing is known
 */
public record WorkerCapacity(
    String id,
    String rack,
    Set<String> labels,
    Resources capacity,
    Resources free,
    int tasksOfStep,
    double speed) {

  /** Returns how many more tasks of {@code step} fit on this worker now. */
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
      slots = Math.min(slots, step.maxPerWorker() - tasksOfStep);
    }
    return (int) Math.max(0, slots);
  }

  /** Returns this worker as it would be without any run. */
  public WorkerCapacity withoutRuns() {
    return new WorkerCapacity(id, rack, labels, capacity, capacity, 0, speed);
  }

  /** Returns this worker with other free resources. */
  public WorkerCapacity withFree(Resources nowFree) {
    return new WorkerCapacity(id, rack, labels, capacity, nowFree, tasksOfStep, speed);
  }

  /** Returns the higher utilization of CPU and memory after {@code demand} is added. */
  public double utilizationAfter(Resources demand) {
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
