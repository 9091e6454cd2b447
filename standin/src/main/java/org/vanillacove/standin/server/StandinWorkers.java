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

/** Workers over HTTP, spread evenly over availability zones and, within them, over racks. */
public final class StandinWorkers implements AutoCloseable {
  /** The servers in order of their workers. */
  private final List<WorkerServer> servers = new ArrayList<>();

  /**
   * Starts the workers.
   *
   * @param layout how many there are and where
   * @param timer source of time
   * @param plan decides how tasks run
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
   * Number and places of workers.
   *
   * @param count number of workers
   * @param portBase port of the first worker, the others follow; zero takes free ones
   * @param zones availability zones, filled in turn
   * @param racksPerZone racks in each zone, filled in turn
   * @param capacity capacity of each worker
   * @param acceleratorKind kind of the accelerators
   */
  public record Layout(
      int count,
      int portBase,
      List<AvailabilityZone> zones,
      int racksPerZone,
      Resources capacity,
      String acceleratorKind) {
    /** Checks the values. */
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

  /** Returns the servers in order of their workers. */
  public List<WorkerServer> servers() {
    return List.copyOf(servers);
  }

  /** Returns the workers in order. */
  public List<WorkerSpec> specs() {
    return servers.stream().map(server -> server.model().spec()).toList();
  }

  /** Begins to stop all workers. */
  @Override
  public void close() {
    servers.forEach(WorkerServer::close);
  }
}
