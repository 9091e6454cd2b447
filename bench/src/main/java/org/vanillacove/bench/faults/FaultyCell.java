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

/** Real cell nodes over fakes of log, workers and links, on one thread and a clock set by hand. */
final class FaultyCell {
  /** Short times, so that a schedule needs few steps. */
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

  /** Regions of the cell. */
  static final int REGIONS = 2;

  /**
   * Largest drift of a clock in thousandths; two clocks that drift apart differ over standing and
   * lease by less than the drift margin.
   */
  private static final int MAX_DRIFT_PER_MILLE = 25;

  /** One-way delay of calls to log and workers in milliseconds. */
  private static final long CALL_DELAY_MILLIS = 5;

  /** The clock. */
  final ManualTimerService clock = new ManualTimerService(1_700_000_000_000L);

  /** The log. */
  final MemoryLog log = new MemoryLog();

  /** Links between hosts. */
  final MemoryPeerNetwork network = new MemoryPeerNetwork(clock, (from, to) -> 2);

  /** Workers by identifier. */
  final Map<String, WorkerModel> workers = new TreeMap<>();

  /** Contact with workers. */
  final MemoryWorkerGateway gateway = new MemoryWorkerGateway();

  /** Living nodes by host. */
  final Map<String, CellNode> nodes = new TreeMap<>();

  /** Surroundings of living nodes by host. */
  final Map<String, FaultyHost> processes = new TreeMap<>();

  /** All hosts. */
  final List<HostSpec> hosts = new ArrayList<>();

  /** Highest configuration version seen by each living node. */
  final Map<String, Long> versions = new HashMap<>();

  /** Whether a node's configuration went back. */
  private Optional<String> wentBack = Optional.empty();

  /** Clocks of the hosts, which drift. */
  private final Map<String, DriftingTimer> hostClocks = new TreeMap<>();

  /** Rules in force. */
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
    nodes.put(hostId, node);
    processes.put(hostId, process);
    versions.put(hostId, 0L);
    node.onConfiguration(version -> noteVersion(hostId, version.version()));
    node.start();
  }

  void kill(String hostId) {
    processes.remove(hostId).kill();
    nodes.remove(hostId).close();
    network.remove(hostId);
    versions.remove(hostId);
  }

  Optional<String> leader() {
    return nodes.entrySet().stream()
        .filter(entry -> entry.getValue().isLeader())
        .map(Map.Entry::getKey)
        .findFirst();
  }

  Optional<String> wentBack() {
    return wentBack;
  }

  private DriftingTimer drifting(RandomGenerator random) {
    return new DriftingTimer(
        clock, random.nextInt(2 * MAX_DRIFT_PER_MILLE + 1) - MAX_DRIFT_PER_MILLE);
  }

  private void noteVersion(String hostId, long version) {
    Long last = versions.put(hostId, version);
    if (last != null && version < last) {
      wentBack = Optional.of(hostId + " went from " + last + " back to " + version);
    }
  }
}
