package org.vanillacove.daemon.local;

import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.backend.BackendServer;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.standin.server.PlatformServer;
import org.vanillacove.standin.server.WorkerServer;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;

/** Simulated platform with log, host list, worker list, workers and backend servers. */
public final class LocalPlatform implements AutoCloseable {
  /** Availability zones, one in each region. */
  private static final List<AvailabilityZone> ZONES =
      List.of(
          new AvailabilityZone("attica", "attica-a"),
          new AvailabilityZone("macedonia", "macedonia-a"),
          new AvailabilityZone("thessaly", "thessaly-a"));

  /** Number of workers in each availability zone. */
  private static final int WORKERS_PER_ZONE = 8;

  /** Number of workers in each rack. */
  private static final int WORKERS_PER_RACK = 4;

  /** Number of backend servers in each availability zone. */
  private static final int BACKENDS_PER_ZONE = 2;

  /** Number of slots of each backend server. */
  private static final int SLOTS_PER_BACKEND = 8;

  /** Capacity of a worker without accelerators. */
  private static final Resources WORKER_CAPACITY = new Resources(64_000, 262_144, 0);

  /** Additional capacity of the last worker of each rack. */
  private static final Resources ACCELERATORS = new Resources(0, 0, 4);

  /** Interval at which the host list is published again. */
  private static final Duration PUBLISH_PERIOD = Duration.ofSeconds(1);

  /** Serves the log and the lists over HTTP. */
  private final PlatformServer server;

  /** Workers in the order of their numbers. */
  private final List<WorkerServer> workers = new ArrayList<>();

  /** Backend servers in the order of their numbers. */
  private final List<BackendServer> backends = new ArrayList<>();

  /** Subscription of the periodic publication. */
  private final TimerService.Subscription subscription;

  /** Starts all servers; a port of zero selects a free port. */
  public LocalPlatform(int platformPort, IntUnaryOperator workerPort, TimerService timer) {
    server = new PlatformServer(platformPort, new MemoryLog());
    for (int index = 0; index < ZONES.size() * WORKERS_PER_ZONE; index++) {
      workers.add(startWorker(index, workerPort.applyAsInt(index), timer));
    }
    for (int index = 0; index < ZONES.size() * BACKENDS_PER_ZONE; index++) {
      AvailabilityZone zone = ZONES.get(index % ZONES.size());
      backends.add(new BackendServer("backend-" + (index + 1), zone, SLOTS_PER_BACKEND));
    }
    server.setWorkers(workers.stream().map(worker -> worker.model().spec()).toList());
    publishHosts();
    subscription = timer.every(PUBLISH_PERIOD, this::publishHosts);
  }

  /** Returns the availability zone of the entry host with the given index. */
  public static AvailabilityZone zoneOfHost(int index) {
    return ZONES.get(index % ZONES.size());
  }

  /** Returns the address of the log and the lists as host:port. */
  public String address() {
    return server.address();
  }

  /** Returns the server of the log and the lists. */
  public PlatformServer server() {
    return server;
  }

  /** Returns the workers. */
  public List<WorkerServer> workers() {
    return List.copyOf(workers);
  }

  /** Returns the backend servers. */
  public List<BackendServer> backends() {
    return List.copyOf(backends);
  }

  @Override
  public void close() {
    subscription.cancel();
    backends.parallelStream().forEach(BackendServer::close);
    workers.forEach(WorkerServer::close);
    server.close();
  }

  private void publishHosts() {
    server.setHosts(backends.stream().map(BackendServer::listed).toList());
  }

  private static WorkerServer startWorker(int index, int port, TimerService timer) {
    AvailabilityZone zone = ZONES.get(index / WORKERS_PER_ZONE);
    int inZone = index % WORKERS_PER_ZONE;
    boolean accelerated = inZone % WORKERS_PER_RACK == WORKERS_PER_RACK - 1;
    return new WorkerServer(
        port,
        address ->
            new WorkerModel(
                new WorkerSpec(
                    "worker-%02d".formatted(index + 1),
                    address,
                    zone,
                    zone.name() + "-rack-" + (inZone / WORKERS_PER_RACK + 1),
                    accelerated ? WORKER_CAPACITY.plus(ACCELERATORS) : WORKER_CAPACITY,
                    accelerated ? Optional.of("gpu") : Optional.empty(),
                    Map.of()),
                timer,
                LocalPlatform::plan));
  }

  /** Runs "sleep N" and "fail N" for N seconds and any other command until it is stopped. */
  private static Optional<WorkerModel.PlannedEnd> plan(WorkerCommand.Start start) {
    List<String> words = Splitter.on(' ').omitEmptyStrings().splitToList(start.command());
    if (words.size() != 2 || !words.get(1).matches("[0-9]{1,6}")) {
      return Optional.empty();
    }
    long runMillis = TimeUnit.SECONDS.toMillis(Long.parseLong(words.get(1)));
    return switch (words.get(0)) {
      case "sleep" -> Optional.of(new WorkerModel.PlannedEnd(runMillis, TaskOutcome.SUCCEEDED));
      case "fail" -> Optional.of(new WorkerModel.PlannedEnd(runMillis, TaskOutcome.FAILED));
      default -> Optional.empty();
    };
  }
}
