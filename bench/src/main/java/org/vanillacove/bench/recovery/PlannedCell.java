package org.vanillacove.bench.recovery;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.standin.memory.MemoryWorkerGateway;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;
import org.vanillacove.state.placement.FirstFitPlacer;

/** A cell with the default times over fakes, on a clock set by hand. */
final class PlannedCell {
  /** One-way delay between hosts in milliseconds, that between two regions. */
  private static final long DELAY_MILLIS = 30;

  /** The clock. */
  final ManualTimerService clock = new ManualTimerService(1_700_000_000_000L);

  /** The log. */
  final MemoryLog log = new MemoryLog();

  /** Links between hosts. */
  final MemoryPeerNetwork network = new MemoryPeerNetwork(clock, (from, to) -> DELAY_MILLIS);

  /** Workers. */
  final MemoryWorkerGateway gateway = new MemoryWorkerGateway();

  /** Nodes by host. */
  final Map<String, CellNode> nodes = new TreeMap<>();

  PlannedCell(int hostCount, int workerCount) {
    for (int i = 0; i < workerCount; i++) {
      gateway.add(new WorkerModel(worker(i), clock, start -> Optional.empty()));
    }
    List<HostSpec> hosts =
        IntStream.range(0, hostCount)
            .mapToObj(i -> new HostSpec("h" + i, "127.0.0.1:" + (7_000 + i), zone(i)))
            .toList();
    for (HostSpec host : hosts) {
      CellNode node =
          new CellNode(
              host,
              hosts,
              log,
              gateway,
              () -> CompletableFuture.completedFuture(Optional.of(List.of())),
              network.link(host.id()),
              clock,
              (kind, subject, text) -> {},
              FirstFitPlacer::new,
              CellTimings.DEFAULTS);
      nodes.put(host.id(), node);
      node.start();
    }
  }

  static WorkerSpec worker(int i) {
    return new WorkerSpec(
        "worker-" + i,
        "127.0.0.1:1",
        zone(i),
        "rack-" + i / 8,
        new Resources(64_000, 262_144, i % 140 == 0 ? 8 : 0),
        Optional.empty(),
        Map.of());
  }

  static AvailabilityZone zone(int i) {
    return new AvailabilityZone("region-" + i % 3, "zone-" + i % 10);
  }

  static JobSpec job(WorkloadKind kind, int tasks) {
    return new JobSpec(
        "moulding-plan",
        "team-17",
        kind,
        PriorityClass.NORMAL,
        tasks,
        new Resources(2_000, 4_096, 0),
        PlacementConstraints.ANY,
        RerunPolicy.RERUN,
        kind == WorkloadKind.SERVICE ? LossPolicy.KEEP : LossPolicy.MOVE,
        false,
        600_000,
        "run --plan 17");
  }

  Optional<CellNode> leader() {
    return nodes.values().stream().filter(CellNode::isLeader).findFirst();
  }

  void kill(String hostId) {
    nodes.remove(hostId).close();
    network.remove(hostId);
  }
}
