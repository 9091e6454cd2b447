package org.vanillacove.standin.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/** Workers served over HTTP, spread evenly over availability zones and over their racks. */
public final class StandinWorkers implements AutoCloseable {
  /** Servers in the order of the worker numbers. */
  private final List<WorkerServer> servers = new ArrayList<>();

  /**
   * Starts the workers.
   *
   * @param layout number, location and capacity of the workers
   * @param timer clock for leases and run times
   * @param plan determines the run time and the outcome of tasks
   */
  public StandinWorkers(Layout layout, TimerService timer, WorkerModel.RunPlan plan) {
    for (int i = 0; i < layout.count; i++) {
      int index = i;
      int port = layout.portBase == 0 ? 0 : layout.portBase + i;
      servers.add(
          new WorkerServer(
              port, address -> new WorkerModel(layout.spec(index, address), timer, plan)));
    }
  }

  /**
   * Number, location and capacity of workers.
   *
   * @param count number of workers
   * @param portBase port of the first worker, followed by the others; zero selects free ports
   * @param zones availability zones, assigned round robin
   * @param racksPerZone number of racks in each zone, assigned round robin
   * @param capacity capacity of each worker
   * @param acceleratorKind kind of the accelerators if the capacity has any
   */
  public record Layout(
      int count,
      int portBase,
      List<AvailabilityZone> zones,
      int racksPerZone,
      Resources capacity,
      String acceleratorKind) {
    /** Validates the numbers and copies the zones. */
    public Layout {
      zones = List.copyOf(zones);
      if (count < 0 || zones.isEmpty() || racksPerZone < 1) {
        throw new IllegalArgumentException(
            "count: must be >= 0; zones: must not be empty; racksPerZone: must be >= 1");
      }
    }

    private WorkerSpec spec(int index, String address) {
      AvailabilityZone zone = zones.get(index % zones.size());
      int rack = index / zones.size() % racksPerZone;
      return new WorkerSpec(
          "worker-" + (index + 1),
          address,
          zone,
          zone.name() + "-rack-" + (rack + 1),
          capacity,
          capacity.accelerators() > 0 ? Optional.of(acceleratorKind) : Optional.empty(),
          Map.of());
    }
  }

  /** Returns the servers in the order of the worker numbers. */
  public List<WorkerServer> servers() {
    return List.copyOf(servers);
  }

  /** Returns the specifications of the workers in the order of their numbers. */
  public List<WorkerSpec> specs() {
    return servers.stream().map(server -> server.model().spec()).toList();
  }

  /** Closes all servers in the background; their ports are released shortly afterwards. */
  @Override
  public void close() {
    servers.forEach(WorkerServer::close);
  }
}
