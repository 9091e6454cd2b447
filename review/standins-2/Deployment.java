package review2;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Hosts of a small deployment: real processes, started with the command of the deploy file. */
final class Deployment implements AutoCloseable {
  private static final String[] ZONES = {"itajai-a", "serra-a", "litoral-a"};
  private static final int FRONT_PORT = 8161;
  private static final int READY_PORT = 8167;
  private static final int PEER_PORT = 7720;

  private final Path folder;
  private final RunRecord record;
  private final String block = "127." + randomByte() + "." + randomByte();
  private final List<Process> processes = new ArrayList<>();
  private final List<String> ips = new ArrayList<>();

  Deployment(Path folder, RunRecord record) {
    this.folder = folder;
    this.record = record;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static int randomByte() {
    return 1 + new Random().nextInt(250);
  }

  /** Returns an address of this run's block of loopback addresses. */
  String ip(int index) {
    return block + "." + index;
  }

  int size() {
    return ips.size();
  }

  String front(int host) {
    return ips.get(host) + ":" + FRONT_PORT;
  }

  /** Starts a host that reaches the store at {@code storeAddress}. */
  void start(String storeAddress) throws IOException {
    int host = ips.size();
    ips.add(ip(1 + host));
    Path settings = folder.resolve("host-" + host + ".toml");
    Files.writeString(settings, settings(host, storeAddress));
    processes.add(launch(host));
  }

  void signal(int host, String name) throws IOException, InterruptedException {
    record.log("host %d gets %s", host, name);
    String command = "kill -" + name + " " + processes.get(host).pid();
    new ProcessBuilder("sh", "-c", command).start().waitFor();
  }

  /** Returns the host that the newest claim in the store names; -1 if there is none. */
  int leader(Store store) {
    byte[] claim = store.newest("keyed.leader", "claim");
    if (claim == null) {
      return -1;
    }
    String text = new String(claim, java.nio.charset.StandardCharsets.ISO_8859_1);
    for (int i = 0; i < ips.size(); i++) {
      if (text.contains("front-" + i + "-")) {
        return i;
      }
    }
    return -1;
  }

  /** Waits until all hosts report that they are ready. */
  boolean awaitReady(long timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + timeoutMillis * 1_000_000;
    while (System.nanoTime() < end) {
      boolean ready = true;
      for (String ip : ips) {
        ready &= Client.status("GET", ip + ":" + READY_PORT, "/vanillacove/ready", "x", "") == 200;
      }
      if (ready) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    for (Process each : processes) {
      try {
        each.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private Process launch(int host) throws IOException {
    File root = new File(System.getProperty("repository")).getCanonicalFile();
    String run = null;
    for (String line : Files.readAllLines(root.toPath().resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    ProcessBuilder builder = new ProcessBuilder(run.split(" +")).directory(root);
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder
        .environment()
        .put("VANILLACOVE_CONFIG", folder.resolve("host-" + host + ".toml").toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("host-" + host + ".log").toFile()));
    Process process = builder.start();
    record.log("host %d starts pid=%d", host, process.pid());
    return process;
  }

  private String settings(int host, String storeAddress) {
    String zone = ZONES[host % ZONES.length];
    String ip = ips.get(host);
    return String.join(
        "\n",
        "node = \"front-" + host + "-" + zone + "\"",
        "role = \"host\"",
        "machine_class = \"front\"",
        "serves = [\"front\"]",
        "ip = \"" + ip + "\"",
        "zone = \"" + zone + "\"",
        "region = \"" + zone.replace("-a", "") + "\"",
        "internal_port_range = [" + PEER_PORT + "," + (PEER_PORT + 15) + "]",
        "seeds = []",
        "bootstrap = true",
        "in_fault_budget = false",
        "discovery = \"platform\"",
        "entry = \"vip\"",
        "heartbeat_ms = 1500",
        "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]",
        "orders = \"rpc\"",
        "[listen_addrs]",
        "front = \"" + ip + ":" + FRONT_PORT + "\"",
        "ready = \"" + ip + ":" + READY_PORT + "\"",
        "[limits]",
        "cpu_share = 0.75",
        "cores = 1",
        "memory_mb = 430",
        "max_fds = 4200",
        "link_mbps = 1000.0",
        "disk_mb = 0",
        "[fault_tolerance]",
        "machines = 2",
        "zones = 0",
        "regions = 0",
        "[bounds]",
        "contact_ms = 4000",
        "ack_ms = 5000",
        "drain_ms = 3000",
        "grace_s = 6",
        "loss_slack_ms = 200",
        "config_apply_ms = 3000",
        "rollback_slack_ms = 250",
        "max_skew_ms = 6000",
        "recovery_s = 12",
        "max_hold_ms = 6000",
        "stop_grace_ms = 200",
        "gang_wait_ms = 3000",
        "cancel_ms = 3000",
        "visible_ms = 3000",
        "early_ms = 250",
        "finish_s = 14",
        "status_s = 120",
        "remote_factor = 2",
        "checkpoint_interval_s = 0.5",
        "restore_ms = 600",
        "notice_ms = 5500",
        "require_fencing = true",
        "lease_ms = 3000",
        "[platform]",
        "address = \"" + storeAddress + "\"",
        "form = \"log\"",
        "writes_per_s = 600",
        "reads_per_s = 2000",
        "parts = 16",
        "append_ms = 3.0",
        "part_mb_per_s = 20.0",
        "read_mb_per_s = 80.0",
        "record_bytes = 262144",
        "request_bytes = 2097152",
        "keep_s = 300",
        "max_partition_mb = 200",
        "min_ttl_ms = 1000",
        "");
  }
}
