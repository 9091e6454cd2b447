package org.vanillacove.standin.server;

import com.google.common.base.Splitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;

/** Runs the platform's log, lists and workers as one process until it is ended. */
public final class StandinMain {
  /** Exit code for bad arguments. */
  private static final int EXIT_USAGE = 2;

  /** Parts of a zone or a host, as in {@code region/zone}. */
  private static final Splitter PARTS = Splitter.on('/');

  /** Port of the platform. */
  @Option(
      name = "--platform-port",
      metaVar = "PORT",
      usage = "port of the platform, 0 for a free one")
  private int platformPort;

  /** Number of workers. */
  @Option(name = "--workers", metaVar = "N", usage = "number of workers")
  private int workers = 24;

  /** Port of the first worker. */
  @Option(
      name = "--worker-port-base",
      metaVar = "PORT",
      usage = "port of the first worker, 0 for free ones")
  private int workerPortBase;

  /** Availability zones. */
  @Option(
      name = "--zone",
      metaVar = "REGION/ZONE",
      usage = "an availability zone; may be given again")
  private List<String> zones = new ArrayList<>();

  /** Racks in each zone. */
  @Option(name = "--racks", metaVar = "N", usage = "racks in each zone")
  private int racks = 2;

  /** Capacity of each worker in cores. */
  @Option(name = "--cores", metaVar = "N", usage = "processor cores of each worker")
  private int cores = 64;

  /** Memory of each worker in gibibytes. */
  @Option(name = "--memory-gib", metaVar = "N", usage = "memory of each worker in GiB")
  private int memoryGib = 256;

  /** Accelerators of each worker. */
  @Option(name = "--accelerators", metaVar = "N", usage = "accelerators of each worker")
  private int accelerators;

  /** Records that the log keeps. */
  @Option(name = "--retained-records", metaVar = "N", usage = "newest records that the log keeps")
  private long retainedRecords = Long.MAX_VALUE;

  /** Listed hosts. */
  @Option(
      name = "--host",
      metaVar = "ROLE/ID/HOST:PORT/REGION/ZONE",
      usage = "a listed host, its role is entry or backend; may be given again")
  private List<String> hosts = new ArrayList<>();

  /** Run time of tasks whose command names none. */
  @Option(
      name = "--run-seconds",
      metaVar = "N",
      usage = "run time of tasks whose command names none")
  private int runSeconds = 10;

  private StandinMain() {}

  /** Starts the stand-ins, prints one line with the platform's address and waits. */
  public static void main(String[] arguments) throws InterruptedException {
    StandinMain main = new StandinMain();
    try {
      new CmdLineParser(main).parseArgument(arguments);
      main.start();
    } catch (CmdLineException | IllegalArgumentException e) {
      System.err.println("error: " + e.getMessage());
      System.exit(EXIT_USAGE);
    }
    new CountDownLatch(1).await();
  }

  private void start() {
    List<ListedHost> listed = hosts.stream().map(StandinMain::parseHost).toList();
    StandinWorkers started =
        new StandinWorkers(
            new StandinWorkers.Layout(
                workers,
                workerPortBase,
                parseZones(),
                racks,
                new Resources(cores * 1_000L, memoryGib * 1_024L, accelerators),
                "accelerator"),
            new StandinTimerService(),
            new CommandRunPlan(Duration.ofSeconds(runSeconds)));
    PlatformServer platform = new PlatformServer(platformPort, new MemoryLog(), retainedRecords);
    platform.setWorkers(started.specs());
    platform.setHosts(listed);
    System.out.println("ready platform=" + platform.address());
  }

  private List<AvailabilityZone> parseZones() {
    List<String> named = zones.isEmpty() ? List.of("local/a", "local/b", "local/c") : zones;
    return named.stream()
        .map(
            text -> {
              List<String> parts = split("--zone", text, 2);
              return new AvailabilityZone(parts.get(0), parts.get(1));
            })
        .toList();
  }

  private static ListedHost parseHost(String text) {
    List<String> parts = split("--host", text, 5);
    ListedHost.Role role =
        switch (parts.get(0)) {
          case "entry" -> ListedHost.Role.ENTRY;
          case "backend" -> ListedHost.Role.BACKEND;
          default ->
              throw new IllegalArgumentException("--host: role must be entry or backend: " + text);
        };
    return new ListedHost(
        parts.get(1), role, parts.get(2), new AvailabilityZone(parts.get(3), parts.get(4)), false);
  }

  private static List<String> split(String option, String text, int count) {
    List<String> parts = PARTS.splitToList(text);
    if (parts.size() != count || parts.stream().anyMatch(String::isBlank)) {
      throw new IllegalArgumentException(
          option + ": must have " + count + " parts divided by '/': " + text);
    }
    return parts;
  }
}
