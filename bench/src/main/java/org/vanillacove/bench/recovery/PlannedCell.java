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

/** Cell with default timings on fakes of log, workers and links, with a manual clock. */
final class PlannedCell {
  /** One-way latency between all hosts in milliseconds, as between two regions. */
  private static final long LATENCY_MILLIS = 30;

  /** Clock of all nodes and workers, advanced manually. */
  final ManualTimerService clock = new ManualTimerService(1_700_000_000_000L);

  /** Log shared by all hosts. */
  final MemoryLog log = new MemoryLog();

  /** Network between the hosts. */
  final MemoryPeerNetwork network = new MemoryPeerNetwork(clock, (from, to) -> LATENCY_MILLIS);

  /** Gateway to the workers, shared by all hosts. */
  final MemoryWorkerGateway gateway = new MemoryWorkerGateway();

  /** Nodes of the running hosts, by host identifier. */
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
