package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of a runner that starts whatever it is told to start, with a lease on its own clock,
 * and fencing.
 */
final class Runner implements AutoCloseable {
  static final long HEARTBEAT_MILLIS = 1_500;
  private static final long MAX_HOLD_MILLIS = 6_000;
  private static final long STOP_MILLIS = 100;
  private static final long TICK_MILLIS = 5;
  private static final int ENDS_PER_ANSWER = 500;
  private static final long MAX_WAIT_MILLIS = 2_000;

  /** Sees what happens at the runners. */
  interface Watcher {
    /** Called when a runner has begun a task. */
    void started(Runner runner, String task, int run, JsonNode order);

    /** Called when a run has ended. */
    void ended(Runner runner, String task, int run, String how);

    /** Returns how long a run of the task works, in milliseconds. */
    long workMillis(String task);
  }

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

  private record End(long number, String task, int run, String how) {}

  final String id;
  final String service;
  final String zone;
  final String ip;
  final long cpu;
  final long memory;
  final String rack;
  private final Store store;
  private final RunRecord record;
  private final Watcher watcher;

  private final String kind;
  private HttpServer server;
  private int port;
  private boolean up;
  private long born;
  private long clockBase;
  private long sequence;
  private long token;
  private long leaseEnd;
  private long lastEnd;
  private final Map<String, Run> running = new HashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final List<End> ends = new ArrayList<>();

  Runner(
      String id,
      String service,
      String zone,
      String ip,
      String kind,
      String rack,
      long cpu,
      long memory,
      Store store,
      RunRecord record,
      Watcher watcher) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.ip = ip;
    this.kind = kind;
    this.rack = rack;
    this.cpu = cpu;
    this.memory = memory;
    this.store = store;
    this.record = record;
    this.watcher = watcher;
    Thread.ofVirtual().start(this::tick);
    Thread.ofVirtual().start(this::beat);
  }

  /** Serves at a free port and registers at once. */
  synchronized void start() throws IOException {
    born = System.currentTimeMillis();
    clockBase = now() - 1_000;
    sequence = 0;
    token = 0;
    leaseEnd = 0;
    lastEnd = 0;
    running.clear();
    highest.clear();
    ends.clear();
    up = true;
    server = Http.serve(new InetSocketAddress(ip, port), this::handle);
    port = server.getAddress().getPort();
    record.log("runner %s starts born=%d kind=%s", id, born, kind);
    register();
  }

  @Override
  public void close() {
    synchronized (this) {
      up = false;
      notifyAll();
    }
    if (server != null) {
      server.stop(0);
    }
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private long clock() {
    return now() - clockBase;
  }

  private void register() {
    sequence++;
    ObjectNode entry = Http.JSON.createObjectNode();
    entry.put("service", service).put("address", ip + ":" + port).put("zone", zone);
    entry.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
    entry.putObject("capacity").put("cpu", cpu).put("mem_mb", memory).put("gpu", 0);
    entry.putArray("labels").add(kind).add(rack);
    entry.put("clock_ms", clock()).put("seq", sequence).put("born", born);
    store.put("keyed.servers", id, entry.toString());
  }

  private void beat() {
    try {
      Thread.sleep((long) (Math.random() * HEARTBEAT_MILLIS));
      while (true) {
        synchronized (this) {
          if (up) {
            register();
          }
        }
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void tick() {
    try {
      while (true) {
        Thread.sleep(TICK_MILLIS);
        synchronized (this) {
          if (up) {
            advance();
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void advance() {
    long clock = clock();
    for (Map.Entry<String, Run> each : List.copyOf(running.entrySet())) {
      Run run = each.getValue();
      if (clock >= leaseEnd) {
        end(each.getKey(), run, "lapsed");
      } else if (clock >= run.startMillis + run.workMillis) {
        end(each.getKey(), run, "done");
      } else if (clock >= run.stopMillis) {
        end(each.getKey(), run, "stopped");
      }
    }
  }

  private void end(String task, Run run, String how) {
    running.remove(task);
    highest.merge(task, run.number, Math::max);
    lastEnd++;
    ends.add(new End(lastEnd, task, run.number, how));
    record.log("runner %s ended task=%s run=%d how=%s", id, task, run.number, how);
    watcher.ended(this, task, run.number, how);
    notifyAll();
  }

  private Http.Answer handle(HttpExchange exchange, byte[] body) throws Exception {
    JsonNode order = Http.JSON.readTree(body);
    String expected = exchange.getRequestHeaders().getFirst("Vanillacove-Expected-Instance");
    synchronized (this) {
      if (!up) {
        return null;
      }
      if (expected != null && !expected.equals(id)) {
        return Http.Answer.json(421, Http.JSON.createObjectNode());
      }
      if (order.path("fencing_token").asLong() < token) {
        return refuse("fence");
      }
      token = order.path("fencing_token").asLong();
      return switch (exchange.getRequestURI().getPath()) {
        case "/vanillacove/run-start" -> startRun(order);
        case "/vanillacove/run-stop" -> stopRun(order);
        case "/vanillacove/hold" -> hold(order);
        default -> Http.Answer.json(404, Http.JSON.createObjectNode());
      };
    }
  }

  private ObjectNode body() {
    return Http.JSON.createObjectNode().put("clock_ms", clock()).put("born", born);
  }

  private Http.Answer refuse(String reason) {
    return Http.Answer.json(409, body().put("reason", reason));
  }

  private void extendLease(JsonNode order) {
    if (order.has("deadline_ms")) {
      long end = Math.min(order.path("deadline_ms").asLong(), clock() + MAX_HOLD_MILLIS);
      leaseEnd = Math.max(leaseEnd, end);
    }
  }

  private Http.Answer startRun(JsonNode order) {
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    Run known = running.get(task);
    if (known != null && known.number == number) {
      return Http.Answer.json(200, body());
    }
    if (number <= highest.getOrDefault(task, 0) || (known != null && number < known.number)) {
      extendLease(order);
      return refuse("old");
    }
    if (order.path("deadline_ms").asLong() <= clock()) {
      return refuse("late");
    }
    extendLease(order);
    running.put(task, new Run(number, clock(), watcher.workMillis(task)));
    record.log(
        "runner %s kind=%s starts task=%s run=%d token=%d", id, kind, task, number, token);
    watcher.started(this, task, number, order);
    return Http.Answer.json(200, body());
  }

  private Http.Answer stopRun(JsonNode order) {
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    Run known = running.get(task);
    if (known != null && known.number == number) {
      known.stopMillis = Math.min(known.stopMillis, clock() + STOP_MILLIS);
    } else {
      highest.merge(task, number, Math::max);
    }
    return Http.Answer.json(200, body());
  }

  private Http.Answer hold(JsonNode order) throws InterruptedException {
    long life = born;
    extendLease(order);
    long seen = order.path("last_seen").asLong();
    ends.removeIf(end -> end.number() <= seen);
    long wait = Math.min(order.path("wait_ms").asLong(), MAX_WAIT_MILLIS);
    long until = now() + wait;
    while (up && born == life && ends.isEmpty() && now() < until) {
      wait(Math.max(1, until - now()));
    }
    if (!up || born != life) {
      return null;
    }
    ObjectNode answer = body();
    ArrayNode rows = answer.putArray("running");
    running.forEach(
        (task, run) -> {
          long percent = Math.min(99, 100 * (clock() - run.startMillis) / run.workMillis);
          rows.addArray().add(task).add(run.number).add("").add(percent).add(0);
        });
    ArrayNode list = answer.putArray("ended_runs");
    ends.stream()
        .limit(ENDS_PER_ANSWER)
        .forEach(
            end ->
                list.addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.run())
                    .add(end.how())
                    .add(""));
    return Http.Answer.json(200, answer);
  }
}
