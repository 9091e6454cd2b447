package org.vanillacove.bench.waiting;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToIntFunction;
import org.vanillacove.bench.Bench;
import org.vanillacove.standin.memory.ManualTimerService;

/** Compares routing policies on the same seeded arrivals in simulated time. */
public final class WaitBench implements Bench {
  /** Length of a run in milliseconds. */
  private static final long RUN_MILLIS = 40_000;

  /** Time that routers have to settle before arrivals begin, in milliseconds. */
  private static final long SETTLE_MILLIS = 6_000;

  /** Entry hosts. */
  private static final int HOSTS = 9;

  /** Age of the load figures of the least-loaded policy, in milliseconds. */
  private static final long STALE_MILLIS = 500;

  /** Load at which the targets hold, in percent. */
  private static final int TARGET_LOAD = 90;

  /** Loads in percent of the capacity that the fleet amounts to. */
  private static final List<Integer> LOADS = List.of(70, TARGET_LOAD, 105);

  /** Mixes of the two users. */
  private static final List<Workload.Mix> MIXES =
      List.of(
          new Workload.Mix("karamanlis", 0.80, 0.17, 30, 250, 1_500, 1),
          new Workload.Mix("encosta", 0.65, 0.30, 60, 400, 3_000, 1));

  @Override
  public Map<String, Object> run(long seed) {
    Map<String, Object> figures = new LinkedHashMap<>();
    Map<String, Object> targets = new LinkedHashMap<>();
    for (Workload.Mix mix : MIXES) {
      for (int load : LOADS) {
        measure(seed, mix, load, figures, targets);
      }
    }
    targets.putAll(figures);
    return targets;
  }

  private static void measure(
      long seed,
      Workload.Mix mix,
      int load,
      Map<String, Object> figures,
      Map<String, Object> targets) {
    List<Arrival> arrivals =
        Workload.arrivals(seed, mix, load / 100.0, Fleet.effectiveSlots(), HOSTS, RUN_MILLIS);
    Map<String, Results> all = new LinkedHashMap<>();
    all.put("random", play(arrivals, choosing(seed, "random")));
    all.put("round_robin", play(arrivals, choosing(seed, "round_robin")));
    all.put("least_loaded", play(arrivals, choosing(seed, "least_loaded")));
    all.put("ours", play(arrivals, WaitBench::ours));
    all.put("bound", play(arrivals, central(false)));
    all.put("regional_bound", play(arrivals, central(true)));
    String prefix = mix.name() + "_" + load + "_";
    all.forEach(
        (name, results) -> {
          figures.put(prefix + name + "_wait_p99_ms", results.p99Wait());
          figures.put(prefix + name + "_failed_share", rounded(results.failedShare()));
        });
    Results ours = all.get("ours");
    figures.put(prefix + "refused_share", rounded(ours.refusedShare()));
    figures.put(prefix + "cross_region_share", rounded(ours.crossedShare()));
    figures.put(prefix + "quick_p99_ms", ours.quickP99());
    figures.put(prefix + "bound_quick_p99_ms", all.get("bound").quickP99());
    System.err.println(prefix + " done");
    targets.merge("false_not_run", ours.falseNotRun(), WaitBench::sum);
    targets.merge("duplicates", (int) ours.duplicates(), WaitBench::sum);
    if (load == TARGET_LOAD) {
      double robin = all.get("round_robin").p99Wait();
      worst(targets, "wait_p99_vs_round_robin", rounded(ours.p99Wait() / robin));
      worst(targets, "wait_p99_vs_bound", rounded(ours.p99Wait() / all.get("bound").p99Wait()));
      double regional = all.get("regional_bound").p99Wait();
      worst(targets, "wait_p99_vs_regional_bound", rounded(ours.p99Wait() / regional));
      worst(targets, "quick_p99_ms", ours.quickP99());
      worst(targets, "cross_region_share", rounded(ours.crossedShare()));
      worst(targets, "refused_share", rounded(ours.refusedShare()));
    }
  }

  private static Results play(List<Arrival> arrivals, PolicyFactory factory) {
    ManualTimerService timer = new ManualTimerService(0);
    Results results = new Results();
    Fleet fleet = new Fleet(timer);
    Policy policy = factory.create(timer, fleet, results);
    timer.advance(SETTLE_MILLIS);
    for (Arrival arrival : arrivals) {
      long due = SETTLE_MILLIS + arrival.atMillis();
      timer.advance(Math.max(0, due - timer.monotonicMillis()));
      policy.arrive(shifted(arrival));
    }
    timer.advance(Duration.ofMinutes(2).toMillis());
    return results;
  }

  private static Arrival shifted(Arrival arrival) {
    return new Arrival(
        arrival.number(),
        arrival.atMillis() + SETTLE_MILLIS,
        arrival.host(),
        arrival.guest(),
        arrival.requestClass(),
        arrival.serviceMillis(),
        arrival.idempotent());
  }

  private static Policy ours(ManualTimerService timer, Fleet fleet, Results results) {
    return new RouterPolicy(timer, fleet, HOSTS, results);
  }

  private static PolicyFactory central(boolean byRegion) {
    return (timer, fleet, results) -> new CentralPolicy(timer, fleet, byRegion, results);
  }

  private static PolicyFactory choosing(long seed, String name) {
    return (timer, fleet, results) -> {
      Random random = new Random(seed);
      ToIntFunction<Arrival> choice =
          switch (name) {
            case "random" -> arrival -> random.nextInt(Fleet.BACKENDS);
            case "round_robin" -> roundRobin();
            default -> leastLoaded(timer, fleet);
          };
      return new DirectPolicy(timer, fleet, choice, results);
    };
  }

  private static ToIntFunction<Arrival> roundRobin() {
    int[] next = new int[HOSTS];
    return arrival -> (next[arrival.host()]++ + arrival.host()) % Fleet.BACKENDS;
  }

  private static ToIntFunction<Arrival> leastLoaded(ManualTimerService timer, Fleet fleet) {
    int[] seen = new int[Fleet.BACKENDS];
    timer.every(
        Duration.ofMillis(STALE_MILLIS),
        () -> {
          for (int i = 0; i < Fleet.BACKENDS; i++) {
            seen[i] = fleet.server(i).load();
          }
        });
    return arrival -> {
      int best = arrival.host() % Fleet.REGIONS;
      for (int i = best; i < Fleet.BACKENDS; i += Fleet.REGIONS) {
        best = seen[i] < seen[best] ? i : best;
      }
      seen[best]++;
      return best;
    };
  }

  private static Object sum(Object one, Object other) {
    return (Integer) one + (Integer) other;
  }

  private static void worst(Map<String, Object> targets, String key, double value) {
    targets.merge(key, value, (one, other) -> Math.max((Double) one, (Double) other));
  }

  private static double rounded(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  /** Creates a policy. */
  @FunctionalInterface
  private interface PolicyFactory {
    Policy create(ManualTimerService timer, Fleet fleet, Results results);
  }
}
