package org.vanillacove.review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * One life of a runner as PROTOCOL.md specifies it: leases, fencing tokens, runs and their ends. A
 * task works for the milliseconds that its spec names. It does not guard its capacity.
 */
final class Runner {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long MAX_HOLD_MILLIS = 10_000;
  private static final long MAX_WAIT_MILLIS = 2_000;
  private static final int MAX_ENDS = 500;

  private final String id;
  private final Profile profile;
  private final Store store;
  private final Journal journal;
  private final HttpServer server;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

  /** Unix millisecond of its start, by the time of day of its machine. */
  private final long born;

  private final long startNanos = System.nanoTime();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> endedRuns = new HashMap<>();
  private final Map<String, Long> startNanosOfTasks = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long lastEnd;
  private long token;
  private long leaseEnd;
  private long seq;
  private long beats;
  private boolean stopped;

  /** What a runner says of itself. */
  record Profile(String service, String kind, String rack, long cpu, long memory) {}

  private record Run(String task, long number, long startMillis, long workMillis) {}

  private record End(long number, String task, long run, String how) {}

  /** Starts a life on a free port; {@code clockMillis} is how far its time of day is ahead. */
  Runner(String id, Profile profile, long clockMillis, Store store, Journal journal)
      throws IOException {
    this.id = id;
    this.profile = profile;
    this.store = store;
    this.journal = journal;
    born = System.currentTimeMillis() + clockMillis;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/vanillacove/run-start", exchange -> serve(exchange, this::start));
    server.createContext("/vanillacove/run-stop", exchange -> serve(exchange, this::stop));
    server.createContext("/vanillacove/hold", exchange -> serve(exchange, this::hold));
    server.start();
    journal.note("runner " + id + " starts born=" + born + " address=" + address());
    timer.scheduleAtFixedRate(this::beat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(this::work, 10, 10, TimeUnit.MILLISECONDS);
  }

  private record Reply(int status, ObjectNode body) {}

  private interface Handler {
    Reply handle(JsonNode body) throws InterruptedException;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Ends the life as a crash does: nothing more is sent. */
  void crash() {
    synchronized (this) {
      stopped = true;
      running.forEach((key, run) -> journal.note("runner " + id + " lost " + key));
      notifyAll();
    }
    timer.shutdownNow();
    server.stop(0);
    journal.note("runner " + id + " has crashed");
  }

  synchronized int runs() {
    return running.size();
  }

  /** Returns when a task whose name begins so was last started; 0 if none was. */
  synchronized long lastStartNanos(String prefix) {
    return startNanosOfTasks.entrySet().stream()
        .filter(each -> each.getKey().startsWith(prefix))
        .mapToLong(Map.Entry::getValue)
        .max()
        .orElse(0);
  }

  /** Returns the entry that the runner writes to the directory. */
  synchronized ObjectNode entry() {
    ObjectNode entry = MAPPER.createObjectNode();
    entry.put("service", profile.service()).put("address", address()).put("zone", "a");
    entry.put("version", "1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
    entry.put("seq", ++seq).put("born", born);
    ObjectNode capacity = entry.putObject("capacity");
    capacity.put("cpu", profile.cpu()).put("mem_mb", profile.memory()).put("gpu", 0);
    entry.putArray("labels").add(profile.kind()).add(profile.rack());
    return entry;
  }

  /** Waits until the runner has written its entry once more. */
  synchronized void awaitBeat() throws InterruptedException {
    long next = beats + 1;
    while (beats < next) {
      wait();
    }
  }

  private synchronized void beat() {
    if (!stopped) {
      store.put("keyed.servers", id, entry().toString());
      beats++;
      notifyAll();
    }
  }

  private long clock() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void serve(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      JsonNode body = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
      String instance = exchange.getRequestHeaders().getFirst("Vanillacove-Expected-Instance");
      Reply reply =
          instance != null && !instance.equals(id)
              ? new Reply(421, MAPPER.createObjectNode())
              : handler.handle(body);
      reply.body().put("clock_ms", clock()).put("born", born);
      byte[] bytes = MAPPER.writeValueAsBytes(reply.body());
      exchange.sendResponseHeaders(reply.status(), bytes.length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(bytes);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Reply reply(int status, String reason) {
    ObjectNode body = MAPPER.createObjectNode();
    if (!reason.isEmpty()) {
      body.put("reason", reason);
    }
    return new Reply(status, body);
  }

  /** Takes over the token and the lease of a call; returns whether the token is current. */
  private boolean admit(JsonNode body) {
    long called = body.path("fencing_token").asLong();
    if (called < token) {
      return false;
    }
    token = called;
    return true;
  }

  private void extend(JsonNode body) {
    if (body.has("deadline_ms")) {
      long end = Math.min(body.path("deadline_ms").asLong(), clock() + MAX_HOLD_MILLIS);
      leaseEnd = Math.max(leaseEnd, end);
    }
  }

  private synchronized Reply start(JsonNode body) {
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    String key = task + " run=" + run;
    if (!admit(body)) {
      return reply(409, "fence");
    }
    if (running.containsKey(key)) {
      extend(body);
      return reply(200, "");
    }
    if (run <= endedRuns.getOrDefault(task, 0L)) {
      extend(body);
      return reply(409, "old");
    }
    if (body.path("deadline_ms").asLong() <= clock()) {
      return reply(409, "late");
    }
    extend(body);
    long millis = Long.parseLong(body.path("spec").asText());
    startNanosOfTasks.put(task, System.nanoTime());
    running.put(key, new Run(task, run, clock(), millis));
    journal.note("runner " + id + " starts " + key + " token=" + token);
    return reply(200, "");
  }

  private synchronized Reply stop(JsonNode body) {
    if (!admit(body)) {
      return reply(409, "fence");
    }
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    endedRuns.merge(task, run, Math::max);
    Run known = running.get(task + " run=" + run);
    if (known != null) {
      end(known, "stopped");
    }
    return reply(200, "");
  }

  private synchronized Reply hold(JsonNode body) throws InterruptedException {
    if (!admit(body)) {
      return reply(409, "fence");
    }
    extend(body);
    long seen = body.path("last_seen").asLong();
    ends.removeIf(end -> end.number() <= seen);
    long wait = Math.min(MAX_WAIT_MILLIS, body.path("wait_ms").asLong());
    long until = System.nanoTime() + wait * 1_000_000;
    while (ends.isEmpty() && !stopped) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    ObjectNode answer = MAPPER.createObjectNode();
    ArrayNode rows = answer.putArray("running");
    for (Run run : running.values()) {
      long percent = Math.min(100, 100 * (clock() - run.startMillis()) / run.workMillis());
      rows.addArray().add(run.task()).add(run.number()).add("").add(percent);
    }
    ArrayNode listed = answer.putArray("ended_runs");
    for (End end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
      listed.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
    }
    return new Reply(200, answer);
  }

  private void end(Run run, String how) {
    running.remove(run.task() + " run=" + run.number());
    endedRuns.merge(run.task(), run.number(), Math::max);
    lastEnd++;
    ends.add(new End(lastEnd, run.task(), run.number(), how));
    journal.note("runner " + id + " ends " + run.task() + " run=" + run.number() + " " + how);
    notifyAll();
  }

  private synchronized void work() {
    if (stopped) {
      return;
    }
    long now = clock();
    Iterator<Run> runs = List.copyOf(running.values()).iterator();
    while (runs.hasNext()) {
      Run run = runs.next();
      if (now >= leaseEnd) {
        end(run, "lapsed");
      } else if (now - run.startMillis() >= run.workMillis()) {
        end(run, "done");
      }
    }
  }
}
