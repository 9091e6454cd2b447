package org.vanillacove.review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Entry hosts: processes that run the command of the deploy file, each on an address of its own. */
final class Hosts implements AutoCloseable {
  private static final String SETTINGS =
      """
      node = "NODE"
      role = "host"
      machine_class = "front"
      serves = ["front"]
      ip = "IP"
      zone = "a"
      region = "r"
      internal_port_range = [PEER,PEER]
      bootstrap = true
      discovery = "platform"
      entry = "vip"
      heartbeat_ms = 1500
      orders = "rpc"
      [zones]
      a = "r"
      [listen_addrs]
      front = "IP:FRONT"
      ready = "IP:READY"
      [limits]
      cpu_share = 0.75
      cores = 1
      memory_mb = 430
      max_fds = 4100
      link_mbps = 1000.0
      disk_mb = 0
      [bounds]
      contact_ms = 4000
      ack_ms = 5000
      drain_ms = 3000
      grace_s = 6
      config_apply_ms = 3000
      max_hold_ms = 10000
      stop_grace_ms = 900
      gang_wait_ms = 3000
      cancel_ms = 3000
      visible_ms = 3000
      finish_s = 14
      status_s = 120
      remote_factor = 3
      require_fencing = true
      lease_ms = 3000
      [platform]
      address = "STORE"
      form = "log"
      writes_per_s = 800.0
      reads_per_s = 2000.0
      parts = 16
      append_ms = 3.0
      part_mb_per_s = 20.0
      read_mb_per_s = 80.0
      record_bytes = 262144
      request_bytes = 2097152
      keep_s = 300
      max_partition_mb = 200
      min_ttl_ms = 1000
      """;

  private final Path root;
  private final Path folder;
  private final Journal journal;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<String> fronts = new ArrayList<>();
  private final List<String> ready = new ArrayList<>();

  Hosts(Path root, Path folder, Journal journal) {
    this.root = root;
    this.folder = folder;
    this.journal = journal;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /** Starts {@code count} hosts, each with at most {@code maxDescriptors} descriptors; 0 for all. */
  void start(int count, String store, int maxDescriptors) throws IOException {
    int net = 1 + (int) (ProcessHandle.current().pid() % 250);
    for (int i = 0; i < count; i++) {
      String ip = "127.77." + net + "." + (11 + i);
      String name = "front-" + (i + 1);
      int[] ports = freePorts(ip, 3);
      Path settings = folder.resolve(name + ".toml");
      Files.writeString(
          settings,
          SETTINGS
              .replace("NODE", name)
              .replace("IP", ip)
              .replace("FRONT", Integer.toString(ports[0]))
              .replace("READY", Integer.toString(ports[1]))
              .replace("PEER", Integer.toString(ports[2]))
              .replace("STORE", store));
      ProcessBuilder builder = new ProcessBuilder(command(maxDescriptors));
      builder.directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("VANILLACOVE_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(folder.resolve(name + ".log").toFile());
      Process process = builder.start();
      processes.put(name, process);
      fronts.add(ip + ":" + ports[0]);
      ready.add(ip + ":" + ports[1]);
      journal.note("host " + name + " starts pid=" + process.pid() + " front=" + fronts.getLast());
    }
  }

  /** Returns the number of the host that was elected last, from the logs. */
  int leader() throws IOException {
    int leader = 0;
    long newest = 0;
    for (int i = 0; i < fronts.size(); i++) {
      for (String line : Files.readAllLines(folder.resolve("front-" + (i + 1) + ".log"))) {
        int at = line.indexOf("leader: elected epoch=");
        long epoch = at < 0 ? 0 : Long.parseLong(line.substring(at + 22).trim());
        if (epoch > newest) {
          newest = epoch;
          leader = i;
        }
      }
    }
    journal.note("host front-" + (leader + 1) + " leads epoch=" + newest);
    return leader;
  }

  /** Notes how often each line with {@code part} stands in the logs. */
  void noteLines(String part) throws IOException {
    Map<String, Integer> counts = new TreeMap<>();
    for (String name : processes.keySet()) {
      for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
        if (line.contains(part)) {
          counts.merge(name + " " + line.strip(), 1, Integer::sum);
        }
      }
    }
    counts.forEach((line, count) -> journal.note("log " + count + " times: " + line));
  }

  /** Sends a signal to a host's process. */
  void signal(int host, String signal) throws IOException, InterruptedException {
    Process process = processes.get("front-" + (host + 1));
    journal.note("host front-" + (host + 1) + " gets " + signal);
    new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
  }

  /** Returns the front address of each host. */
  List<String> fronts() {
    return fronts;
  }

  /** Returns the ready address of each host. */
  List<String> ready() {
    return ready;
  }

  private List<String> command(int maxDescriptors) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        List<String> command = new ArrayList<>();
        if (maxDescriptors > 0) {
          String limited = "ulimit -n " + maxDescriptors + "; exec \"$@\"";
          command.addAll(List.of("bash", "-c", limited, "host"));
        }
        command.addAll(List.of(line.substring(7, line.lastIndexOf('"')).split(" +")));
        return command;
      }
    }
    throw new IOException("no command in the deploy file");
  }

  private static int[] freePorts(String ip, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    try {
      for (int i = 0; i < count; i++) {
        ServerSocket socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
        sockets.add(socket);
        ports[i] = socket.getLocalPort();
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  private void killAll() {
    processes.values().forEach(Process::destroyForcibly);
  }

  @Override
  public void close() {
    killAll();
    processes.forEach(
        (name, process) -> {
          try {
            process.waitFor(5, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          journal.note("host " + name + " has ended");
        });
  }
}
