package org.vanillacove.review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: a store, runners and entry hosts, with one queue of one service. */
final class Cell implements AutoCloseable {
  static final String SERVICE = "castor-planner";
  static final String PREFIX = "/lohu930/";

  private static final String HOST = "nony24.example";
  private static final long MAX_START_MILLIS = 30_000;
  private static final String CONFIGURATION =
      """
      {"version":%d,"routes":[{"name":"q1","host":"%s","path_prefix":"%s","service":"%s",
      "priority":0,"max_attempts":4,"stretch":4.0,"target_completion_ms":3000}],
      "services":[{"name":"%s","enforces_capacity":false}],"limits":{}}
      """;

  private final Journal journal;
  private final Path folder;
  private final Store store;
  private final Hosts hosts;
  private final Client client;
  private final List<Runner> runners = new ArrayList<>();

  /** Starts the store; {@code root} is the repository. */
  Cell(Path root, Journal journal) throws IOException {
    this.journal = journal;
    folder = Files.createTempDirectory("review3-");
    store = new Store();
    hosts = new Hosts(root, folder, journal);
    client = new Client(HOST, journal);
    journal.note("store " + store.address());
    configure(1);
  }

  void configure(int version) {
    store.put(
        "keyed.op",
        "config",
        CONFIGURATION.formatted(version, HOST, PREFIX, SERVICE, SERVICE).replace("\n", ""));
  }

  Store store() {
    return store;
  }

  Client client() {
    return client;
  }

  Hosts hosts() {
    return hosts;
  }

  /** Returns how many runs the runners have. */
  int runs() {
    return runners.stream().mapToInt(Runner::runs).sum();
  }

  /** Returns the time since a task of a job was last started. */
  long millisSinceLastStart(String job) {
    return (System.nanoTime() - lastStartNanos(job + ".")) / 1_000_000;
  }

  /** Returns when a runner last started a task whose name begins so; 0 if none did. */
  long lastStartNanos(String prefix) {
    return runners.stream().mapToLong(runner -> runner.lastStartNanos(prefix)).max().orElse(0);
  }

  /** Returns the front address of a host. */
  String front(int host) {
    return hosts.fronts().get(host);
  }

  Runner startRunner(String id, Runner.Profile profile, long clockMillis) throws IOException {
    Runner runner = new Runner(id, profile, clockMillis, store, journal);
    runners.add(runner);
    return runner;
  }

  /** Starts hosts and waits until all are ready; returns whether they became so in time. */
  boolean startHosts(int count) throws IOException, InterruptedException {
    return startHosts(count, 0);
  }

  /** The same with at most {@code maxDescriptors} descriptors for each host. */
  boolean startHosts(int count, int maxDescriptors) throws IOException, InterruptedException {
    hosts.start(count, store.address(), maxDescriptors);
    long until = System.nanoTime() + MAX_START_MILLIS * 1_000_000;
    for (String ready : hosts.ready()) {
      while (client.call("GET", ready, "/vanillacove/ready", "").status() != 200) {
        if (System.nanoTime() > until) {
          return false;
        }
        Thread.sleep(500);
      }
    }
    return true;
  }

  void note(String line) {
    journal.note(line);
  }

  /** Returns the body of a job of one task that works for {@code millis} milliseconds. */
  static String job(String label, long cpu, long millis) {
    return job(label, cpu, millis, millis);
  }

  /** Returns the same with an estimate of its own. */
  static String job(String label, long cpu, long millis, long estimateMillis) {
    return "{\"spec\":\"" + millis + "\",\"steps\":[{\"count\":1,\"cpu\":" + cpu
        + ",\"mem_mb\":256,\"estimate_ms\":" + estimateMillis + ",\"required_label\":\"" + label + "\"}]}";
  }

  /** Hands a job in, at up to 5 attempts; returns whether it was accepted. */
  boolean submit(int host, String id, String body) throws InterruptedException {
    for (int i = 0; i < 5; i++) {
      if (client.call("POST", front(host), PREFIX + id, body).status() == 200) {
        return true;
      }
      Thread.sleep(1_000);
    }
    return false;
  }

  /** Asks for the state of a job until it is {@code completed}; returns whether it became so. */
  boolean awaitCompleted(int host, String id, long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      Client.Answer answer = client.call("GET", front(host), PREFIX + id, "");
      if (answer.status() == 200 && answer.body().contains("completed")) {
        return true;
      }
      Thread.sleep(Math.min(1_000, millis));
    }
    return false;
  }

  /** Writes an entry to the directory as another writer does. */
  void putEntry(String id, ObjectNode entry) {
    journal.note("another writer writes the entry " + id + " " + entry);
    store.put("keyed.servers", id, entry.toString());
  }

  @Override
  public void close() throws IOException {
    hosts.close();
    runners.forEach(Runner::crash);
    store.stop();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }
}
