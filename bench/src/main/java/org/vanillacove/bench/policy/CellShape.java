package org.vanillacove.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/**
 * Workers of a cell.
 *
 * @param name readable name
 * @param workers number of workers
 * @param capacity capacity of a plain worker
 * @param accelerated workers with eight accelerators
 * @param zones availability zones, spread over three regions
 * @param teams teams with quotas
 */
public record CellShape(
    String name, int workers, Resources capacity, int accelerated, int zones, int teams) {
  /** The castor-planner's cell. */
  public static final CellShape KARAMANLIS =
      new CellShape("karamanlis", 30, new Resources(64_000, 262_144, 0), 0, 3, 8);

  /** The slope service's cell. */
  public static final CellShape ENCOSTA_SUL =
      new CellShape("encosta_sul", 30, new Resources(32_000, 65_536, 0), 0, 3, 8);

  /** The cell that is designed for. */
  public static final CellShape PLANNED =
      new CellShape("planned", 560, new Resources(64_000, 262_144, 0), 125, 10, 61);

  /** Accelerators of an accelerated worker. */
  private static final int ACCELERATORS = 8;

  /** Regions of a cell. */
  private static final int REGIONS = 3;

  /** Workers of a rack. */
  private static final int RACK = 8;

  /** Returns the cell with {@code factor} times the workers in as many zones. */
  public CellShape times(int factor) {
    return new CellShape(
        name + "_x" + factor, workers * factor, capacity, accelerated * factor, zones, teams);
  }

  /** Returns the workers. */
  public List<WorkerSpec> specs() {
    List<WorkerSpec> specs = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      int rack = i / RACK;
      int zone = rack % zones;
      boolean special = (long) (i + 1) * accelerated / workers > (long) i * accelerated / workers;
      Resources size =
          special
              ? new Resources(capacity.cpuMillis(), capacity.memoryMib() * 2, ACCELERATORS)
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

  /** Returns the capacity of all workers. */
  public Resources total() {
    return specs().stream().map(WorkerSpec::capacity).reduce(Resources.NONE, Resources::plus);
  }
}
