package org.vanillacove.bench.control;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.vanillacove.bench.Bench;
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
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;
import org.vanillacove.state.placement.PolicyPlacer;

/**
 * Measures processor time, live memory and transferred bytes of the control plane by role, at
 * fractions of the planned size, on fakes with a manual clock. Processor time of the fakes is
 * included.
 */
public final class ControlBench implements Bench {
  /** Number of workers of a cell of the planned size. */
  private static final int WORKERS = 560;

  /** Number of running tasks at the planned size. */
  private static final int RUNNING_TASKS = 7_100;

  /** Number of task starts per second at the peak of the planned size. */
  private static final double STARTS_PER_SECOND = 32;

  /** Number of entry hosts. */
  private static final int HOSTS = 9;

  /** Duration of a measurement in seconds of simulated time. */
  private static final int MEASUREMENT_SECONDS = 30;

  /** Duration of the load before a measurement in simulated seconds, so that tasks end too. */
  private static final int WARM_UP_SECONDS = 20;

  /** Run time of the tasks that the load submits, in milliseconds. */
  private static final long RUN_MILLIS = 10_000;

  /** Deadline of job submissions. */
  private static final Duration DEADLINE = Duration.ofSeconds(10);

  /** Divisors of the planned size, one for each measurement. */
  private static final int[] SIZE_DIVISORS = {8, 4, 2, 1};

  /** Logger of the code under test; a strong reference, so that its level is not lost. */
  private static final Logger COORDINATION_LOGGER =
      Logger.getLogger("org.vanillacove.coordination");

  /** Creates the bench. */
  public ControlBench() {}

  @Override
  public Map<String, Object> run(long seed) {
    COORDINATION_LOGGER.setLevel(Level.OFF);
    Map<String, Object> figures = new LinkedHashMap<>();
    for (int divisor : SIZE_DIVISORS) {
      measure(divisor, figures);
    }
    return figures;
  }

  private static void measure(int divisor, Map<String, Object> figures) {
    ManualTimerService clock = new ManualTimerService(1_700_000_000_000L);
    MemoryLog log = new MemoryLog();
    MemoryPeerNetwork network = new MemoryPeerNetwork(clock, (from, to) -> 30);
    MemoryWorkerGateway gateway = new MemoryWorkerGateway();
    for (int i = 0; i < WORKERS / divisor; i++) {
      gateway.add(new WorkerModel(worker(i), clock, start -> plannedEnd(start.command())));
    }
    long fakes = liveBytes();
    Map<String, MeteredHost> meters = new TreeMap<>();
    Map<String, CellNode> nodes = startHosts(clock, log, network, gateway, meters);
    clock.advance(10_000);
    CellNode leader = nodes.values().stream().filter(CellNode::isLeader).findFirst().orElseThrow();
    String leaderId = leader.self().id();
    leader.submitJob("base", job("stays", RUNNING_TASKS / divisor), DEADLINE);
    clock.advance(30_000);
    double startsPerSecond = STARTS_PER_SECOND / divisor;
    List<CellNode> entries = List.copyOf(nodes.values());
    submitJobs(clock, entries, startsPerSecond, WARM_UP_SECONDS, "warm-up-");
    Map<String, long[]> begun = new TreeMap<>();
    Map<String, Map<String, Long>> kinds = new TreeMap<>();
    meters.forEach(
        (id, meter) -> {
          begun.put(id, new long[] {meter.cpuNanos(), meter.bytes()});
          kinds.put(id, meter.bytesByKind());
        });
    submitJobs(clock, entries, startsPerSecond, MEASUREMENT_SECONDS, "load-");
    double cpu = 0;
    double bytes = 0;
    String busiest = "";
    for (Map.Entry<String, MeteredHost> entry : meters.entrySet()) {
      long[] start = begun.get(entry.getKey());
      double corePct = (entry.getValue().cpuNanos() - start[0]) / 1e9 / MEASUREMENT_SECONDS * 100;
      double rate = (entry.getValue().bytes() - start[1]) / (double) MEASUREMENT_SECONDS;
      if (entry.getKey().equals(leaderId)) {
        figures.put("leader_core_pct_1_" + divisor, corePct);
        figures.put("leader_bytes_per_s_1_" + divisor, rate);
      } else {
        cpu = Math.max(cpu, corePct);
        busiest = rate > bytes ? entry.getKey() : busiest;
        bytes = Math.max(bytes, rate);
      }
    }
    figures.put("holder_core_pct_1_" + divisor, cpu);
    figures.put("holder_bytes_per_s_1_" + divisor, bytes);
    long live = liveBytes() - fakes;
    figures.put("memory_mb_per_node_1_" + divisor, live / 1e6 / HOSTS);
    figures.put("running_1_" + divisor, countRunningTasks(leader));
    if (divisor == 1) {
      addBytesByKind("leader", meters.get(leaderId), kinds.get(leaderId), figures);
      addBytesByKind("holder", meters.get(busiest), kinds.get(busiest), figures);
    }
    nodes.values().forEach(CellNode::close);
  }

  /** Starts all hosts, each with a meter around its log, links, workers and timers. */
  private static Map<String, CellNode> startHosts(
      ManualTimerService clock,
      MemoryLog log,
      MemoryPeerNetwork network,
      MemoryWorkerGateway gateway,
      Map<String, MeteredHost> meters) {
    Map<String, CellNode> nodes = new TreeMap<>();
    List<HostSpec> hosts =
        IntStream.range(0, HOSTS)
            .mapToObj(i -> new HostSpec("h" + i, "127.0.0.1:" + (7_000 + i), zone(i)))
            .toList();
    for (HostSpec host : hosts) {
      MeteredHost meter = new MeteredHost();
      CellNode node =
          new CellNode(
              host,
              hosts,
              meter.log(log),
              meter.gateway(gateway),
              () -> CompletableFuture.completedFuture(Optional.of(List.of())),
              meter.link(network.link(host.id())),
              meter.timer(clock),
              (kind, subject, text) -> {},
              PolicyPlacer::new,
              CellTimings.DEFAULTS);
      meters.put(host.id(), meter);
      nodes.put(host.id(), node);
      node.start();
    }
    return nodes;
  }

  /** Adds the bytes per second of one host for each kind of message. */
  private static void addBytesByKind(
      String role, MeteredHost meter, Map<String, Long> begun, Map<String, Object> figures) {
    meter
        .bytesByKind()
        .forEach(
            (kind, total) -> {
              long spent = total - begun.getOrDefault(kind, 0L);
              figures.put(role + "_bytes_per_s_" + kind, spent / (double) MEASUREMENT_SECONDS);
            });
  }

  /** Submits jobs of one task at a constant rate to the hosts in turn, as a load balancer does. */
  private static void submitJobs(
      ManualTimerService clock,
      List<CellNode> entries,
      double startsPerSecond,
      int seconds,
      String prefix) {
    int jobs = (int) (startsPerSecond * seconds);
    for (int i = 0; i < jobs; i++) {
      entries.get(i % entries.size()).submitJob(prefix + i, job("ends", 1), DEADLINE);
      clock.advance((long) (1_000 / startsPerSecond));
    }
  }

  private static int countRunningTasks(CellNode node) {
    return node.workers().stream().mapToInt(worker -> worker.runningTasks()).sum();
  }

  private static Optional<WorkerModel.PlannedEnd> plannedEnd(String command) {
    return command.equals("ends")
        ? Optional.of(new WorkerModel.PlannedEnd(RUN_MILLIS, TaskOutcome.SUCCEEDED))
        : Optional.empty();
  }

  private static WorkerSpec worker(int i) {
    return new WorkerSpec(
        "worker-" + i,
        "127.0.0.1:1",
        zone(i),
        "rack-" + i / 8,
        new Resources(64_000, 262_144, 0),
        Optional.empty(),
        Map.of());
  }

  private static AvailabilityZone zone(int i) {
    return new AvailabilityZone("region-" + i % 3, "zone-" + i % 3 + "-" + i / 3 % 3);
  }

  private static JobSpec job(String command, int tasks) {
    return new JobSpec(
        "moulding-plan",
        "team-17",
        WorkloadKind.BATCH,
        PriorityClass.NORMAL,
        tasks,
        new Resources(2_000, 4_096, 0),
        PlacementConstraints.ANY,
        RerunPolicy.RERUN,
        LossPolicy.MOVE,
        false,
        RUN_MILLIS,
        command);
  }

  private static long liveBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
