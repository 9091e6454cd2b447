package review;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the stand-in of the store, the hosts as processes of
 * their own by the command of the deploy file, clients, and the record of all that is seen.
 */
final class Deployment implements AutoCloseable {
  static final String SERVICE = "castor-planner";
  static final String SITE_HOST = "site.example";
  static final long HEARTBEAT_MILLIS = 1_500;

  /** Time for which a client waits for an answer. */
  private static final long CLIENT_DEADLINE_MILLIS = 3_000;

  private static final int FRONT_PORT = 8161;
  private static final int READY_PORT = 8167;
  private static final int PEER_PORT = 7720;

  /** Whether the disruption takes place; TROUBLE=0 leaves it out. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  final StoreStandin store;
  final String network;
  private final Path folder;
  private final PrintWriter record;
  private final long startMillis = now();
  private final List<HostProcess> hosts = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();

  /** A host's process, restarted under the same settings. */
  final class HostProcess {
    final String name;
    final String ip;
    private Process process;
    private int starts;

    HostProcess(String name, String ip) {
      this.name = name;
      this.ip = ip;
    }

    void start() throws IOException {
      Path file = folder.resolve(name + ".toml");
      Files.writeString(file, settings(this));
      starts++;
      String command =
          Files.readAllLines(Path.of("deploy/system.toml")).stream()
              .filter(line -> line.startsWith("run = "))
              .findFirst()
              .orElseThrow()
              .replaceFirst("^run = \"(.*)\"$", "$1");
      ProcessBuilder builder = new ProcessBuilder(command.split(" "));
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("VANILLACOVE_CONFIG", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(folder.resolve(name + "." + starts + ".log").toFile());
      process = builder.start();
      note("host %s starts", name);
    }

    /** Ends the process by SIGKILL. */
    void kill() throws InterruptedException {
      note("host %s is killed", name);
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }

    boolean isReady() {
      try {
        HttpRequest request =
            HttpRequest.newBuilder(
                    URI.create("http://" + ip + ":" + READY_PORT + "/vanillacove/ready"))
                .timeout(Duration.ofSeconds(1))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
      } catch (IOException e) {
        return false;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
  }

  Deployment(String caseName, int hostCount) throws IOException {
    record =
        new PrintWriter(
            Files.newBufferedWriter(Path.of("review", caseName, "record.txt")), true);
    folder = Files.createTempDirectory("review-" + caseName + "-");
    ThreadLocalRandom random = ThreadLocalRandom.current();
    network = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + ".";
    store = new StoreStandin(network + "200");
    for (int i = 1; i <= hostCount; i++) {
      hosts.add(new HostProcess("front-attica-a-" + i, network + i));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    note("disruption: %s", trouble ? "yes" : "no (TROUBLE=0)");
  }

  /** Returns the monotonic time in milliseconds. */
  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  static void answer(HttpExchange exchange, int status, String body) throws IOException {
    answer(exchange, status, body.getBytes(StandardCharsets.UTF_8));
  }

  static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
  }

  /** Writes a line to the record. */
  synchronized void note(String format, Object... arguments) {
    record.printf("%8.3f s  ", (now() - startMillis) / 1000.0);
    record.printf(format, arguments);
    record.println();
  }

  /** Starts all hosts and waits until they are ready. */
  void start() throws IOException, InterruptedException {
    for (HostProcess host : hosts) {
      host.start();
    }
    for (HostProcess host : hosts) {
      require(await(20_000, host::isReady), "host " + host.name + " is not ready in time");
    }
    note("all hosts are ready");
  }

  List<HostProcess> hosts() {
    return hosts;
  }

  /** Returns the host that wrote the newest claim of leadership to the store. */
  HostProcess leader() {
    String claim = store.newestText("keyed.leader", "claim");
    return hosts.stream().filter(host -> claim.contains(host.name)).findFirst().orElseThrow();
  }

  /** Kills the leader, waits for another one and starts the process again. */
  void replaceLeader() throws IOException, InterruptedException {
    HostProcess old = leader();
    old.kill();
    require(await(10_000, () -> leader() != old), "no other host claims the leadership");
    note("host %s claims the leadership", leader().name);
    old.start();
  }

  /** Condition that is polled. */
  interface Condition {
    boolean holds();
  }

  static boolean await(long millis, Condition condition) throws InterruptedException {
    long end = now() + millis;
    while (!condition.holds()) {
      if (now() > end) {
        return false;
      }
      Thread.sleep(10);
    }
    return true;
  }

  /** The case could not be run. */
  static void require(boolean holds, String message) {
    if (!holds) {
      throw new IllegalStateException(message);
    }
  }

  /** Sends a request to a host; returns the status and the body, status 0 for no answer. */
  Map.Entry<Integer, String> call(HostProcess host, String method, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host.ip + ":" + FRONT_PORT + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Host", SITE_HOST)
            .header("Content-Type", "application/json")
            .header("Vanillacove-Deadline-Remaining", Long.toString(CLIENT_DEADLINE_MILLIS))
            .timeout(Duration.ofMillis(CLIENT_DEADLINE_MILLIS))
            .build();
    Map.Entry<Integer, String> answer;
    try {
      HttpResponse<String> response =
          client.send(request, HttpResponse.BodyHandlers.ofString());
      answer = Map.entry(response.statusCode(), response.body());
    } catch (IOException e) {
      answer = Map.entry(0, "no answer");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      answer = Map.entry(0, "interrupted");
    }
    note("%s %s at %s: %d %s", method, path, host.name, answer.getKey(), answer.getValue());
    return answer;
  }

  /** Submits a job until it is accepted, at one host after the other. */
  void submit(String path, String body) throws InterruptedException {
    for (int i = 0; i < 20; i++) {
      HostProcess host = hosts.get(i % hosts.size());
      if (host.process.isAlive() && call(host, "POST", path, body).getKey() == 200) {
        return;
      }
      Thread.sleep(500);
    }
    throw new IllegalStateException("job not accepted: " + path);
  }

  /** Returns the state of a job at any host that answers. */
  String state(String path) {
    for (HostProcess host : hosts) {
      if (host.process.isAlive()) {
        Map.Entry<Integer, String> answer = call(host, "GET", path, "");
        if (answer.getKey() == 200) {
          return answer.getValue().replaceAll(".*\"state\":\"(\\w+)\".*", "$1");
        }
      }
    }
    return "";
  }

  /** Returns a route of the configuration without advice. */
  static String route(String queue, int priority, double stretch, long targetMillis) {
    return ("{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/%s/\",\"service\":\"%s\","
            + "\"priority\":%d,\"max_attempts\":4,\"stretch\":%s,\"target_completion_ms\":%d}")
        .formatted(queue, SITE_HOST, queue, SERVICE, priority, stretch, targetMillis);
  }

  void configure(int version, String... routes) {
    store.put(
        "keyed.op",
        "config",
        "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"%s\",\"enforces_capacity\":false}],\"limits\":{}}"
            .formatted(version, String.join(",", routes), SERVICE));
    note("configuration %d with %d routes is acknowledged", version, routes.length);
  }

  /** Ends the case: 1 if the rule was broken, 0 if it held. */
  void finish(boolean broken, String verdict) {
    note("%s: %s", broken ? "BROKEN" : "HELD", verdict);
    close();
    System.out.println((broken ? "BROKEN: " : "HELD: ") + verdict);
    System.out.flush();
    Runtime.getRuntime().halt(broken ? 1 : 0);
  }

  @Override
  public void close() {
    killAll();
    store.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println(folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      note("temporary folder not removed: %s", e.getMessage());
    }
  }

  private void killAll() {
    for (HostProcess host : hosts) {
      if (host.process != null) {
        host.process.destroyForcibly();
      }
    }
  }

  private String settings(HostProcess host) {
    Map<String, String> values = new HashMap<>();
    values.put("NODE", host.name);
    values.put("IP", host.ip);
    values.put("STORE", store.address());
    String text =
        """
        node = "NODE"
        role = "host"
        machine_class = "front"
        serves = ["front"]
        ip = "IP"
        zone = "attica-a"
        region = "attica"
        internal_port_range = [%d,%d]
        seeds = []
        bootstrap = true
        in_fault_budget = false
        discovery = "platform"
        entry = "vip"
        heartbeat_ms = 1500
        contracts = ["base","drain","config","cost","recover","sched","platform"]
        orders = "rpc"
        [zones]
        attica-a = "attica"
        [listen_addrs]
        front = "IP:%d"
        ready = "IP:%d"
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
        require_fencing = true
        lease_ms = 3000
        [platform]
        address = "STORE"
        form = "log"
        writes_per_s = 800
        reads_per_s = 2000
        parts = 16
        append_ms = 3.0
        record_bytes = 262144
        request_bytes = 2097152
        keep_s = 300
        """
            .formatted(PEER_PORT, PEER_PORT + 15, FRONT_PORT, READY_PORT);
    for (Map.Entry<String, String> each : values.entrySet()) {
      text = text.replace(each.getKey(), each.getValue());
    }
    return text;
  }
}
