package org.vanillacove.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/**
 * Number, size and location of the workers of a simulated cell.
 *
 * @param name name of the cell in the printed figures
 * @param workers number of workers
 * @param capacity capacity of a worker without accelerators
 * @param accelerated number of workers with eight accelerators
 * @param zones number of availability zones, spread over three regions
 * @param teams number of teams with quotas
 */
public record CellShape(
    String name, int workers, Resources capacity, int accelerated, int zones, int teams) {
  /** Cell of the castor-planner. */
  public static final CellShape KARAMANLIS =
      new CellShape("karamanlis", 30, new Resources(64_000, 262_144, 0), 0, 3, 8);

  /** Cell of the slope service. */
  public static final CellShape ENCOSTA_SUL =
      new CellShape("encosta_sul", 30, new Resources(32_000, 65_536, 0), 0, 3, 8);

  /** Planned cell, whose size the scheduler is designed for. */
  public static final CellShape PLANNED =
      new CellShape("planned", 560, new Resources(64_000, 262_144, 0), 125, 10, 61);

  /** Number of accelerators of an accelerated worker. */
  private static final int ACCELERATORS_PER_WORKER = 8;

  /** Number of regions of a cell. */
  private static final int REGIONS = 3;

  /** Number of workers in a rack. */
  private static final int WORKERS_PER_RACK = 8;

  /** Returns a cell with {@code factor} times the workers in the same number of zones. */
  public CellShape scaledBy(int factor) {
    return new CellShape(
        name + "_x" + factor, workers * factor, capacity, accelerated * factor, zones, teams);
  }

  /** Returns the specifications of all workers, the accelerated ones spread evenly. */
  public List<WorkerSpec> specs() {
    List<WorkerSpec> specs = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      int rack = i / WORKERS_PER_RACK;
      int zone = rack % zones;
      boolean special = (long) (i + 1) * accelerated / workers > (long) i * accelerated / workers;
      Resources size =
          special
              ? new Resources(
                  capacity.cpuMillis(), capacity.memoryMib() * 2, ACCELERATORS_PER_WORKER)
              : capacity;
      specs.add(
          new WorkerSpec(
              "w" + i,
              "127.0.0.1:" + (10_000 + i),
              new AvailabilityZone("region" + zone % REGIONS, "zone" + zone),
              "rack" + rack,
              size,
              special ? Optional.of("gpu") : Optional.empty(),
              Map.of()));
    }
    return specs;
  }

  /** Returns the sum of the capacities of all workers. */
  public Resources totalCapacity() {
    return specs().stream().map(WorkerSpec::capacity).reduce(Resources.NONE, Resources::plus);
  }
}
