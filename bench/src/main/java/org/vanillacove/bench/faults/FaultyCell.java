package org.vanillacove.bench.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.math3.random.RandomGenerator;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.coordination.scheduling.SafetyRules;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.standin.memory.MemoryWorkerGateway;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.placement.FirstFitPlacer;

/** Real cell nodes on fakes of log, workers and links, in one thread with a manual clock. */
final class FaultyCell {
  /** Timings, short so that a schedule needs few clock steps. */
  static final CellTimings TIMINGS =
      new CellTimings(
          Duration.ofMillis(500),
          Duration.ofMillis(1_000),
          Duration.ofMillis(2_000),
          Duration.ofMillis(6_000),
          Duration.ofMillis(500),
          Duration.ofMillis(2_000),
          Duration.ofMillis(100),
          Duration.ofMillis(400),
          Duration.ofMillis(200),
          Duration.ofMillis(1_000),
          Duration.ofMillis(15_000),
          Duration.ofMillis(10_000));

  /** Number of regions, over which hosts and workers are spread in turn. */
  static final int REGIONS = 2;

  /**
   * Maximum drift of a clock, in thousandths. Two clocks that drift in opposite directions differ
   * by less than the drift margin over the duration of a host lease and a worker lease.
   */
  private static final int MAX_DRIFT_PER_MILLE = 25;

  /** One-way latency of calls to the log and to workers, in milliseconds. */
  private static final long CALL_DELAY_MILLIS = 5;

  /** Clock of the schedule, advanced manually. */
  final ManualTimerService clock = new ManualTimerService(1_700_000_000_000L);

  /** Log shared by all hosts. */
  final MemoryLog log = new MemoryLog();

  /** Network between the hosts, with a one-way latency of 2 ms. */
  final MemoryPeerNetwork network = new MemoryPeerNetwork(clock, (from, to) -> 2);

  /** Workers by identifier. */
  final Map<String, WorkerModel> workers = new TreeMap<>();

  /** Gateway to the workers, shared by all hosts. */
  final MemoryWorkerGateway gateway = new MemoryWorkerGateway();

  /** Nodes of the running hosts, by host identifier. */
  final Map<String, CellNode> liveNodes = new TreeMap<>();

  /** Process environments of the running hosts, by host identifier. */
  final Map<String, FaultyHost> processes = new TreeMap<>();

  /** All hosts of the cell, running or not. */
  final List<HostSpec> hosts = new ArrayList<>();

  /** Configuration version last reported by each running node, by host identifier. */
  final Map<String, Long> versions = new HashMap<>();

  /** Last decrease of a node's configuration version, empty if there was none. */
  private Optional<String> versionRegression = Optional.empty();

  /** Drifting clocks of the hosts, kept across restarts, by host identifier. */
  private final Map<String, DriftingTimer> hostClocks = new TreeMap<>();

  /** Safety rules that the nodes apply. */
  private final SafetyRules rules;

  FaultyCell(
      int hostCount,
      int workerCount,
      SafetyRules rules,
      WorkerModel.RunPlan plan,
      RandomGenerator random) {
    this.rules = rules;
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new HostSpec("h" + i, "127.0.0.1:" + (7_000 + i), zone(i)));
      hostClocks.put("h" + i, drifting(random));
    }
    for (int i = 0; i < workerCount; i++) {
      Resources capacity = new Resources(4_000, 8_192, 0);
      WorkerSpec spec =
          new WorkerSpec(
              "w" + i, "127.0.0.1:1", zone(i), "r" + i, capacity, Optional.empty(), Map.of());
      WorkerModel worker = new WorkerModel(spec, drifting(random), plan);
      workers.put(spec.id(), worker);
      gateway.add(worker);
    }
    hosts.forEach(host -> start(host.id()));
  }

  static AvailabilityZone zone(int i) {
    return new AvailabilityZone("region-" + i % REGIONS, "zone-" + i % REGIONS);
  }

  void start(String hostId) {
    HostSpec self = hosts.stream().filter(h -> h.id().equals(hostId)).findFirst().orElseThrow();
    FaultyHost process =
        new FaultyHost(
            clock, hostClocks.get(hostId), log, gateway, network.link(hostId), CALL_DELAY_MILLIS);
    CellNode node =
        new CellNode(
            self,
            hosts,
            process.log(),
            process.gateway(),
            () -> CompletableFuture.completedFuture(Optional.of(List.of())),
            process.link(),
            process.timer(),
            (kind, subject, text) -> {},
            FirstFitPlacer::new,
            TIMINGS,
            rules);
    liveNodes.put(hostId, node);
    processes.put(hostId, process);
    versions.put(hostId, 0L);
    node.onConfiguration(version -> recordVersion(hostId, version.version()));
    node.start();
  }

  void kill(String hostId) {
    processes.remove(hostId).kill();
    liveNodes.remove(hostId).close();
    network.remove(hostId);
    versions.remove(hostId);
  }

  Optional<String> leader() {
    return liveNodes.entrySet().stream()
        .filter(entry -> entry.getValue().isLeader())
        .map(Map.Entry::getKey)
        .findFirst();
  }

  Optional<String> versionRegression() {
    return versionRegression;
  }

  private DriftingTimer drifting(RandomGenerator random) {
    return new DriftingTimer(
        clock, random.nextInt(2 * MAX_DRIFT_PER_MILLE + 1) - MAX_DRIFT_PER_MILLE);
  }

  private void recordVersion(String hostId, long version) {
    Long last = versions.put(hostId, version);
    if (last != null && version < last) {
      versionRegression = Optional.of(hostId + " went from " + last + " back to " + version);
    }
  }
}
