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
  /** Duration of the arrivals in milliseconds. */
  private static final long RUN_MILLIS = 40_000;

  /** Time for the routers to settle before the first arrival, in milliseconds. */
  private static final long SETTLE_MILLIS = 6_000;

  /** Number of entry hosts. */
  private static final int HOSTS = 9;

  /** Time between two updates of the load seen by the least-loaded policy, in milliseconds. */
  private static final long LOAD_UPDATE_MILLIS = 500;

  /** Load for which the targets are defined, in percent. */
  private static final int TARGET_LOAD = 90;

  /** Offered loads, in percent of the effective capacity of the fleet. */
  private static final List<Integer> LOADS = List.of(70, TARGET_LOAD, 105);

  /** Request mixes of the two users of the scheduler. */
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
    all.put("random", simulate(arrivals, directPolicy(seed, "random")));
    all.put("round_robin", simulate(arrivals, directPolicy(seed, "round_robin")));
    all.put("least_loaded", simulate(arrivals, directPolicy(seed, "least_loaded")));
    all.put("ours", simulate(arrivals, WaitBench::routerPolicy));
    all.put("bound", simulate(arrivals, centralPolicy(false)));
    all.put("regional_bound", simulate(arrivals, centralPolicy(true)));
    String prefix = mix.name() + "_" + load + "_";
    all.forEach(
        (name, results) -> {
          figures.put(prefix + name + "_wait_p99_ms", results.p99Wait());
          figures.put(prefix + name + "_failed_share", rounded(results.failedShare()));
        });
    Results ours = all.get("ours");
    figures.put(prefix + "refused_share", rounded(ours.refusedShare()));
    figures.put(prefix + "cross_region_share", rounded(ours.crossRegionShare()));
    figures.put(prefix + "quick_p99_ms", ours.quickP99());
    figures.put(prefix + "bound_quick_p99_ms", all.get("bound").quickP99());
    System.err.println(prefix + " done");
    targets.merge("false_not_run", ours.falseNotRun(), WaitBench::sum);
    targets.merge("duplicates", (int) ours.duplicates(), WaitBench::sum);
    if (load == TARGET_LOAD) {
      double robin = all.get("round_robin").p99Wait();
      mergeMax(targets, "wait_p99_vs_round_robin", rounded(ours.p99Wait() / robin));
      mergeMax(targets, "wait_p99_vs_bound", rounded(ours.p99Wait() / all.get("bound").p99Wait()));
      double regional = all.get("regional_bound").p99Wait();
      mergeMax(targets, "wait_p99_vs_regional_bound", rounded(ours.p99Wait() / regional));
      mergeMax(targets, "quick_p99_ms", ours.quickP99());
      mergeMax(targets, "cross_region_share", rounded(ours.crossRegionShare()));
      mergeMax(targets, "refused_share", rounded(ours.refusedShare()));
    }
  }

  private static Results simulate(List<Arrival> arrivals, PolicyFactory factory) {
    ManualTimerService timer = new ManualTimerService(0);
    Results results = new Results();
    Fleet fleet = new Fleet(timer);
    Policy policy = factory.create(timer, fleet, results);
    timer.advance(SETTLE_MILLIS);
    for (Arrival arrival : arrivals) {
      long due = SETTLE_MILLIS + arrival.atMillis();
      timer.advance(Math.max(0, due - timer.monotonicMillis()));
      policy.arrive(afterSettling(arrival));
    }
    timer.advance(Duration.ofMinutes(2).toMillis());
    return results;
  }

  private static Arrival afterSettling(Arrival arrival) {
    return new Arrival(
        arrival.number(),
        arrival.atMillis() + SETTLE_MILLIS,
        arrival.host(),
        arrival.guest(),
        arrival.requestClass(),
        arrival.serviceMillis(),
        arrival.idempotent());
  }

  private static Policy routerPolicy(ManualTimerService timer, Fleet fleet, Results results) {
    return new RouterPolicy(timer, fleet, HOSTS, results);
  }

  private static PolicyFactory centralPolicy(boolean byRegion) {
    return (timer, fleet, results) -> new CentralPolicy(timer, fleet, byRegion, results);
  }

  private static PolicyFactory directPolicy(long seed, String name) {
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
        Duration.ofMillis(LOAD_UPDATE_MILLIS),
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

  private static void mergeMax(Map<String, Object> targets, String key, double value) {
    targets.merge(key, value, (one, other) -> Math.max((Double) one, (Double) other));
  }

  private static double rounded(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  /** Creates a policy on a new clock and fleet. */
  @FunctionalInterface
  private interface PolicyFactory {
    Policy create(ManualTimerService timer, Fleet fleet, Results results);
  }
}
