package review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A configuration replaces a route by one of another name at the same host and prefix. */
public final class RenameCase {
  private static final int HOSTS = 7;
  private static final int RUNNERS = 14;
  private static final long RUNNER_CPU = 32_000;
  private static final int TASK_CPU = 2_000;
  private static final int TASK_MILLIS = 3_000;
  private static final int JOBS = 20;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final String HOST = "laudo.example";
  private static final String PREFIX = "/tensao/";

  private RenameCase() {}

  /** Runs the case; the first argument is its folder. */
  public static void main(String[] args) throws IOException, InterruptedException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review-7-");
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(args[0], "record.txt"));
        Store store = new Store();
        Deployment hosts = new Deployment(temporary, record)) {
      code = run(record, store, hosts, trouble);
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
    } finally {
      try (var files = Files.walk(temporary)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    }
    System.exit(code);
  }

  private static int run(RunRecord record, Store store, Deployment hosts, boolean trouble)
      throws IOException, InterruptedException {
    Runs runs = new Runs();
    store.put("keyed.op", "config", configuration(7, "r-tensao", 3_000));
    List<Runner> runners = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      Runner runner =
          new Runner(
              "i-" + (1000 + i), "laudo", "itajai-a", hosts.ip(20 + i), "a", "r1-" + i / 8,
              RUNNER_CPU, 65_536, store, record, runs);
      runner.start();
      runners.add(runner);
    }
    try {
      for (int i = 0; i < HOSTS; i++) {
        hosts.start(hosts.ip(100) + ":" + store.open(hosts.ip(100)));
      }
      if (!hosts.awaitReady(40_000)) {
        record.log("the hosts did not become ready");
        return 2;
      }
      Thread.sleep(3_000);
      Set<String> accepted = new LinkedHashSet<>();
      for (int i = 0; i < JOBS; i++) {
        String id = String.format("%016x", 0x7e50L + i);
        if (submit(record, hosts, i % HOSTS, id)) {
          accepted.add(id);
        }
        Thread.sleep(100);
      }
      // The first step of the last jobs is still at work.
      store.put(
          "keyed.op",
          "config",
          trouble ? configuration(9, "r-tensao2", 3_000) : configuration(9, "r-tensao", 2_900));
      record.log("operator writes version 9");
      Thread.sleep(3_000);
      String later = String.format("%016x", 0x7eff);
      record.log("a job handed in under version 9: %s", later);
      if (submit(record, hosts, 1, later)) {
        accepted.add(later);
      }
      record.log("the traffic ends");
      Thread.sleep(FINISH_MILLIS);
      Set<String> idle = runs.idle(accepted);
      long mostInUse = 0;
      for (long end = record.millis() + IDLE_MILLIS; record.millis() < end; Thread.sleep(20)) {
        idle.retainAll(runs.idle(accepted));
        mostInUse = Math.max(mostInUse, runs.coresInUse());
      }
      for (String id : accepted) {
        Client.Answer answer = Client.call("GET", hosts.front(2), PREFIX + id, HOST, "");
        boolean completed = answer.body().contains("completed");
        record.log("client GET %s -> %d %s", id, answer.status(), answer.body());
        if (idle.contains(id) && !completed && 2 * mostInUse < RUNNERS * RUNNER_CPU / 1_000) {
          record.broken(
              "LOST: job=%s is shown as %s and has nothing running for 3 s; %d of %d cores in use",
              id, answer.body(), mostInUse, RUNNERS * RUNNER_CPU / 1_000);
        }
      }
      return record.verdict();
    } finally {
      runners.forEach(Runner::close);
    }
  }

  private static boolean submit(RunRecord record, Deployment hosts, int host, String id) {
    String step =
        "{\"count\":4,\"cpu\":" + TASK_CPU + ",\"mem_mb\":3600,\"estimate_ms\":" + TASK_MILLIS;
    String body =
        "{\"spec\":\"job " + id + "\",\"steps\":[" + step + "}," + step + ",\"after\":[0]}]}";
    int status = Client.status("POST", hosts.front(host), PREFIX + id, HOST, body);
    record.log("client POST %s host=%d -> %d", id, host, status);
    return status == 200;
  }

  private static String configuration(int version, String name, int timeout) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"" + name + "\",\"host\":\"" + HOST
        + "\",\"path_prefix\":\"" + PREFIX + "\",\"kind\":\"unsafe\",\"timeout_ms\":" + timeout
        + ",\"target_completion_ms\":3000,\"priority\":2,\"service\":\"laudo\","
        + "\"max_attempts\":3,\"stretch\":4.0}],\"services\":[{\"name\":\"laudo\","
        + "\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
        + "\"enforces_capacity\":false,\"standby\":false}],"
        + "\"limits\":{\"max_body_bytes\":262144}}";
  }

  /** Notes what runs and what has ended as done. */
  private static final class Runs implements Runner.Watcher {
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final Map<String, Set<String>> done = new ConcurrentHashMap<>();

    private long coresInUse() {
      return (long) running.size() * TASK_CPU / 1_000;
    }

    /** Returns the jobs that have nothing running and whose tasks have not all ended as done. */
    private Set<String> idle(Set<String> jobs) {
      Set<String> idle = new LinkedHashSet<>(jobs);
      idle.removeIf(
          id ->
              done.getOrDefault(id, Set.of()).size() == 8
                  || running.stream().anyMatch(run -> run.startsWith(id)));
      return idle;
    }

    @Override
    public void started(Runner runner, String task, int run, JsonNode order) {
      running.add(task + "#" + run);
    }

    @Override
    public void ended(Runner runner, String task, int run, String how) {
      running.remove(task + "#" + run);
      if (how.equals("done")) {
        done.computeIfAbsent(task.substring(0, 16), id -> ConcurrentHashMap.newKeySet()).add(task);
      }
    }

    @Override
    public long workMillis(String task) {
      return TASK_MILLIS;
    }
  }
}
