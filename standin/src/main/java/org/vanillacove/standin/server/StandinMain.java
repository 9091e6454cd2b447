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

/** Runs a simulated platform and its workers in one process until it is killed. */
public final class StandinMain {
  /** Exit code for invalid arguments. */
  private static final int EXIT_USAGE = 2;

  /** Splits the values of {@code --zone} and {@code --host} into their parts. */
  private static final Splitter SLASH_SPLITTER = Splitter.on('/');

  /** Port of the platform, zero for a free one. */
  @Option(
      name = "--platform-port",
      metaVar = "PORT",
      usage = "port of the platform, 0 selects a free port")
  private int platformPort;

  /** Number of workers over all availability zones. */
  @Option(name = "--workers", metaVar = "N", usage = "number of workers")
  private int workers = 24;

  /** Port of the first worker, zero for free ports. */
  @Option(
      name = "--worker-port-base",
      metaVar = "PORT",
      usage = "port of the first worker, 0 selects free ports")
  private int workerPortBase;

  /** Availability zones as region/zone; empty for three zones of one region. */
  @Option(name = "--zone", metaVar = "REGION/ZONE", usage = "an availability zone; may be repeated")
  private List<String> zones = new ArrayList<>();

  /** Number of racks in each availability zone. */
  @Option(name = "--racks", metaVar = "N", usage = "number of racks in each availability zone")
  private int racks = 2;

  /** Processor cores of each worker. */
  @Option(name = "--cores", metaVar = "N", usage = "processor cores of each worker")
  private int cores = 64;

  /** Memory of each worker in gibibytes. */
  @Option(name = "--memory-gib", metaVar = "N", usage = "memory of each worker in GiB")
  private int memoryGib = 256;

  /** Number of accelerators of each worker. */
  @Option(name = "--accelerators", metaVar = "N", usage = "accelerators of each worker")
  private int accelerators;

  /** Number of newest records that the log retains. */
  @Option(name = "--retained-records", metaVar = "N", usage = "newest records that the log retains")
  private long retainedRecords = Long.MAX_VALUE;

  /** Entries of the platform's host list as role/id/host:port/region/zone. */
  @Option(
      name = "--host",
      metaVar = "ROLE/ID/HOST:PORT/REGION/ZONE",
      usage = "an entry of the host list, ROLE is entry or backend; may be repeated")
  private List<String> hosts = new ArrayList<>();

  /** Run time in seconds of tasks whose command gives none. */
  @Option(
      name = "--run-seconds",
      metaVar = "N",
      usage = "run time of tasks whose command gives none")
  private int runSeconds = 10;

  private StandinMain() {}

  /** Starts platform and workers, prints the platform's address in a line and waits. */
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
    List<String> parts = SLASH_SPLITTER.splitToList(text);
    if (parts.size() != count || parts.stream().anyMatch(String::isBlank)) {
      throw new IllegalArgumentException(
          option + ": must have " + count + " parts separated by '/': " + text);
    }
    return parts;
  }
}
