package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a worker: runs under a lease, ends that are listed until they are acknowledged (500
 * at a time), fencing, and one life after another under the same id and address. It does not guard
 * its capacity. A task works for the time in its payload, {@code work_ms=N}.
 */
final class WorkerStandin implements AutoCloseable {
  /** Maximum number of ends in one report. */
  private static final int ENDS_PER_REPORT = 500;

  /** Maximum lease, {@code max_hold_ms} of the settings. */
  private static final long MAX_LEASE_MILLIS = 10_000;

  /** Maximum time for which a report waits for an end. */
  private static final long MAX_WAIT_MILLIS = 2_000;

  /** Time that a stop takes; the pages allow 900 ms. */
  private static final long STOP_MILLIS = 50;

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Demand of the tasks of each job by {@code ID.step}, as the clients sent it. */
  static final Map<String, Long> DEMAND_CPU = new HashMap<>();

  /** Observes all starts and ends, to check the rules. */
  interface Observer {
    void started(WorkerStandin worker, String task, int run);

    void ended(WorkerStandin worker, String task, int run, String how);

    /** Called when {@code last_seen} reaches an end. */
    void noted(WorkerStandin worker, String task, int run, String how);
  }

  /** A run that has not ended. */
  private static final class Run {
    final int number;
    final long startMillis;
    final long workMillis;
    long stopMillis = Long.MAX_VALUE;

    Run(int number, long startMillis, long workMillis) {
      this.number = number;
      this.startMillis = startMillis;
      this.workMillis = workMillis;
    }
  }

  /** An end that was not acknowledged. */
  private record End(long number, String task, int run, String how) {}

  final String id;
  private final StoreStandin store;
  private final Observer observer;
  private final String rack;
  private final long oneWayMillis;
  private final String ip;
  private int port;
  private String kind;
  private long cpu;
  private HttpServer server;
  private boolean up;
  private boolean cut;
  private long born;
  private long clockBase;
  private long beatMillis;
  private long sequence;
  private long token;
  private long leaseEnd;
  private long lastEnd;
  private final Map<String, Run> running = new HashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final AtomicInteger openCalls = new AtomicInteger();
  private final AtomicInteger mostCalls = new AtomicInteger();
  private final Set<String> seenConnections = new HashSet<>();

  WorkerStandin(
      String id,
      String ip,
      StoreStandin store,
      Observer observer,
      String kind,
      String rack,
      long cpu,
      long oneWayMillis) {
    this.id = id;
    this.ip = ip;
    this.store = store;
    this.observer = observer;
    this.kind = kind;
    this.rack = rack;
    this.cpu = cpu;
    this.oneWayMillis = oneWayMillis;
    Thread.ofVirtual().start(this::tickForever);
  }

  /** Begins a life: writes its entry to the store, then opens the port. */
  synchronized void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, port), 200);
    port = server.getAddress().getPort();
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/vanillacove/hold", exchange -> handle(exchange, this::hold));
    server.createContext("/vanillacove/run-start", exchange -> handle(exchange, this::runStart));
    server.createContext("/vanillacove/run-stop", exchange -> handle(exchange, this::runStop));
    born = System.currentTimeMillis();
    clockBase = Deployment.now();
    token = 0;
    leaseEnd = 0;
    lastEnd = 0;
    sequence = 0;
    up = true;
    beat();
    server.start();
  }

  /** Ends the life without a word: all runs are gone. */
  synchronized void crash() {
    up = false;
    server.stop(0);
    running.forEach((task, run) -> observer.ended(this, task, run.number, "crashed"));
    running.clear();
    highest.clear();
    ends.clear();
    notifyAll();
  }

  /** Changes kind and capacity for the next life. */
  synchronized void setKind(String newKind, long newCpu) {
    kind = newKind;
    cpu = newCpu;
  }

  synchronized long cpu() {
    return cpu;
  }

  synchronized String kind() {
    return kind;
  }

  synchronized boolean isUp() {
    return up;
  }

  /** Returns the processor demand of all runs, in thousandths of a core. */
  synchronized long usedCpu() {
    return running.keySet().stream().mapToLong(WorkerStandin::demand).sum();
  }

  /** Cuts the worker off from all hosts and the store, or ends that; what is sent is held up. */
  synchronized void setCut(boolean value) {
    cut = value;
    notifyAll();
  }

  /** Returns the time since the last heartbeat in milliseconds. */
  synchronized long sinceBeatMillis() {
    return Deployment.now() - beatMillis;
  }

  private synchronized void awaitLink() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  synchronized int runningTasks() {
    return running.size();
  }

  /** Returns the most calls that were open at the same time, each on a connection of its own. */
  int mostCalls() {
    return mostCalls.get();
  }

  static long demand(String task) {
    String[] parts = task.split("\\.");
    return DEMAND_CPU.getOrDefault(parts[0] + "." + parts[2], 0L);
  }

  @Override
  public synchronized void close() {
    if (up) {
      up = false;
      server.stop(0);
    }
  }

  private interface Handler {
    String handle(JsonNode body) throws InterruptedException;
  }

  private void handle(HttpExchange exchange, Handler handler) throws IOException {
    mostCalls.accumulateAndGet(openCalls.incrementAndGet(), Math::max);
    try (exchange) {
      JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
      delayRequest(exchange);
      awaitLink();
      String expected = exchange.getRequestHeaders().getFirst("Vanillacove-Expected-Instance");
      String answer = expected != null && !expected.equals(id) ? "421{}" : handler.handle(body);
      Thread.sleep(oneWayMillis);
      awaitLink();
      Deployment.answer(exchange, Integer.parseInt(answer.substring(0, 3)), answer.substring(3));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      openCalls.decrementAndGet();
    }
  }

  /** Delays a request by the link, and the first one of a connection by its handshake as well. */
  private void delayRequest(HttpExchange exchange) throws InterruptedException {
    boolean first;
    synchronized (seenConnections) {
      first = seenConnections.add(exchange.getRemoteAddress().toString());
    }
    Thread.sleep(first ? 3 * oneWayMillis : oneWayMillis);
  }

  private long clock() {
    return Deployment.now() - clockBase;
  }

  private ObjectNode answer() {
    return JSON.createObjectNode().put("clock_ms", clock()).put("born", born);
  }

  private void beat() {
    ObjectNode entry = JSON.createObjectNode();
    entry.put("service", Deployment.SERVICE).put("address", ip + ":" + port);
    entry.put("zone", "attica-a").put("version", "v1").put("slots", 8).put("state", "ready");
    entry.put("cold_remaining_ms", 0).put("seq", sequence++).put("born", born);
    entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 262_144).put("gpu", 0);
    entry.putArray("labels").add(kind).add(rack);
    beatMillis = Deployment.now();
    store.beat(id, entry.toString());
  }

  private void extendLease(JsonNode body) {
    if (body.has("deadline_ms")) {
      long asked = Math.min(body.path("deadline_ms").asLong(), clock() + MAX_LEASE_MILLIS);
      leaseEnd = Math.max(leaseEnd, asked);
    }
  }

  private boolean fences(JsonNode body) {
    long sent = body.path("fencing_token").asLong();
    if (sent < token) {
      return true;
    }
    token = sent;
    return false;
  }

  private String rejected(String reason) {
    return "409" + answer().put("reason", reason);
  }

  private synchronized String hold(JsonNode body) throws InterruptedException {
    if (fences(body)) {
      return rejected("fence");
    }
    extendLease(body);
    ends.removeIf(end -> isNoted(end, body.path("last_seen").asLong()));
    long until =
        Deployment.now() + Math.min(MAX_WAIT_MILLIS, body.path("wait_ms").asLong());
    long life = born;
    while (ends.isEmpty() && up && life == born && Deployment.now() < until) {
      wait(Math.max(1, until - Deployment.now()));
    }
    ObjectNode answer = answer();
    ArrayNode rows = answer.putArray("running");
    running.forEach(
        (task, run) ->
            rows.addArray()
                .add(task)
                .add(run.number)
                .add("")
                .add(Math.min(99, 100 * (Deployment.now() - run.startMillis) / run.workMillis))
                .add(demand(task)));
    ArrayNode ended = answer.putArray("ended_runs");
    ends.stream()
        .limit(ENDS_PER_REPORT)
        .forEach(
            end ->
                ended
                    .addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.run())
                    .add(end.how())
                    .add(""));
    return "200" + answer;
  }

  private boolean isNoted(End end, long lastSeen) {
    if (end.number() > lastSeen) {
      return false;
    }
    observer.noted(this, end.task(), end.run(), end.how());
    return true;
  }

  private synchronized String runStart(JsonNode body) {
    if (fences(body)) {
      return rejected("fence");
    }
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    Run current = running.get(task);
    if (current != null && current.number == number) {
      extendLease(body);
      return "200" + answer();
    }
    if (body.path("deadline_ms").asLong() <= clock()) {
      return rejected("late");
    }
    extendLease(body);
    if (current != null || number <= highest.getOrDefault(task, 0)) {
      return rejected("old");
    }
    String spec = body.path("spec").asText();
    long work = Long.parseLong(spec.substring(spec.indexOf("work_ms=") + 8).split(" ")[0]);
    running.put(task, new Run(number, Deployment.now(), work));
    observer.started(this, task, number);
    return "200" + answer();
  }

  private synchronized String runStop(JsonNode body) {
    if (fences(body)) {
      return rejected("fence");
    }
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    Run current = running.get(task);
    if (current != null && current.number == number) {
      current.stopMillis = Math.min(current.stopMillis, Deployment.now() + STOP_MILLIS);
    } else {
      highest.merge(task, number, Math::max);
    }
    return "200" + answer();
  }

  private void tickForever() {
    try {
      while (true) {
        Thread.sleep(5);
        tick();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void tick() {
    if (!up) {
      return;
    }
    long now = Deployment.now();
    if (!cut && now - beatMillis >= Deployment.HEARTBEAT_MILLIS) {
      beat();
    }
    boolean lapsed = clock() >= leaseEnd;
    List<End> ended = new ArrayList<>();
    running.forEach(
        (task, run) -> {
          if (lapsed) {
            ended.add(new End(++lastEnd, task, run.number, "lapsed"));
          } else if (now >= run.stopMillis) {
            ended.add(new End(++lastEnd, task, run.number, "stopped"));
          } else if (now >= run.startMillis + run.workMillis) {
            ended.add(new End(++lastEnd, task, run.number, "done"));
          }
        });
    for (End end : ended) {
      running.remove(end.task());
      highest.merge(end.task(), end.run(), Math::max);
      ends.add(end);
      observer.ended(this, end.task(), end.run(), end.how());
    }
    if (!ended.isEmpty()) {
      notifyAll();
    }
  }
}
