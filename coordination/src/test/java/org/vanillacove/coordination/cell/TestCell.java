package org.vanillacove.coordination.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vanillacove.coordination.api.CellTimings;
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
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;
import org.vanillacove.state.placement.FirstFitPlacer;

/** Cell of several hosts in memory with a manual clock. */
final class TestCell {
  static final Duration DEADLINE = Duration.ofSeconds(3);
  final ManualTimerService timer = new ManualTimerService(1_700_000_000_000L);
  final MemoryLog log = new MemoryLog();
  final MemoryPeerNetwork network = new MemoryPeerNetwork(timer, (from, to) -> 1);
  final MemoryWorkerGateway gateway = new MemoryWorkerGateway();
  final FaultyReplyGateway replies = new FaultyReplyGateway(gateway, timer);
  final Map<String, CellNode> nodes = new TreeMap<>();
  final Map<String, WorkerModel> workers = new TreeMap<>();
  final Map<String, WorkerModel.PlannedEnd> plannedEnds = new HashMap<>();
  final List<String> events = new ArrayList<>();
  private final List<HostSpec> seeds = new ArrayList<>();
  private final Supplier<Placer> placers;

  TestCell(int hosts, int workerCount) {
    this(hosts, workerCount, FirstFitPlacer::new);
  }

  TestCell(int hosts, int workerCount, Supplier<Placer> placers) {
    this.placers = placers;
    for (int i = 0; i < hosts; i++) {
      seeds.add(host(i));
    }
    for (int i = 0; i < workerCount; i++) {
      addWorker("w" + i, zone(i));
    }
    seeds.forEach(host -> startNode(host.id()));
  }

  static AvailabilityZone zone(int i) {
    return new AvailabilityZone("region-" + i % 3, "zone-" + i % 3 + "a");
  }

  static HostSpec host(int i) {
    return new HostSpec("h" + i, "127.0.0.1:" + (7_000 + i), zone(i));
  }

  static JobSpec job(WorkloadKind kind, int tasks, RerunPolicy rerun, LossPolicy loss) {
    return new JobSpec(
        "job",
        "team",
        kind,
        PriorityClass.NORMAL,
        tasks,
        new Resources(1_000, 1_024, 0),
        PlacementConstraints.ANY,
        rerun,
        loss,
        false,
        0,
        "run");
  }

  void addWorker(String id, AvailabilityZone zone) {
    WorkerSpec spec =
        new WorkerSpec(
            id,
            "127.0.0.1:1",
            zone,
            "r1",
            new Resources(4_000, 8_192, 0),
            Optional.empty(),
            Map.of());
    WorkerModel model =
        new WorkerModel(
            spec, timer, start -> Optional.ofNullable(plannedEnds.get(start.command())));
    workers.put(id, model);
    gateway.add(model);
  }

  CellNode startNode(String id) {
    HostSpec self = seeds.stream().filter(host -> host.id().equals(id)).findFirst().orElseThrow();
    CellNode node =
        new CellNode(
            self,
            seeds,
            log,
            replies,
            () -> CompletableFuture.completedFuture(Optional.of(List.of())),
            network.link(id),
            timer,
            (kind, subject, text) -> record(id, kind, subject, text),
            placers,
            CellTimings.DEFAULTS);
    nodes.put(id, node);
    node.start();
    return node;
  }

  private void record(String host, String kind, String subject, String text) {
    events.add("%7d %s %-18s %s: %s".formatted(timer.monotonicMillis(), host, kind, subject, text));
  }

  void kill(String id) {
    nodes.remove(id).close();
    network.remove(id);
  }

  CellNode node() {
    return nodes.values().iterator().next();
  }

  Optional<CellNode> leader() {
    return nodes.values().stream().filter(CellNode::isLeader).findFirst();
  }

  void advanceSeconds(int count) {
    timer.advance(count * 1_000L);
  }

  /** Advances the clock until a leader is elected and its workers are usable. */
  void awaitReady() {
    advanceSeconds(8);
  }

  List<String> workersRunning(TaskId task) {
    return workers.values().stream()
        .filter(worker -> worker.runningTasks().contains(task))
        .map(worker -> worker.spec().id())
        .toList();
  }

  int startsOf(TaskId task) {
    return workers.values().stream().mapToInt(worker -> worker.startCount(task)).sum();
  }
}
