package org.vanillacove.bench.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.vanillacove.bench.Bench;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.placement.BestFitPlacer;
import org.vanillacove.state.placement.FirstFitPlacer;
import org.vanillacove.state.placement.PolicyPlacer;

/** Compares waiting, packing and fairness of the placement policy with simple baselines. */
public final class PolicyBench implements Bench {
  /** Offered load of a day as a share of the capacity. */
  private static final double LOAD = 0.95;

  /** Half-life of past usage in the fair shares, in milliseconds. */
  private static final long HALF_LIFE_MILLIS = 3_600_000;

  /** Maximum number of preemptions of a task. */
  private static final int MAX_PREEMPTIONS = 2;

  /** Creates the bench. */
  public PolicyBench() {}

  @Override
  public Map<String, Object> run(long seed) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("karamanlis", runScenario(CellShape.KARAMANLIS, 1_200, seed));
    figures.put("encosta_sul", runScenario(CellShape.ENCOSTA_SUL, 1_200, seed));
    figures.put("planned", runScenario(CellShape.PLANNED, 7_900, seed));
    figures.put("planned_overloaded", runOverload(CellShape.PLANNED, 7_900, seed));
    return figures;
  }

  private static Map<String, Object> runScenario(CellShape shape, int jobs, long seed) {
    DayFigures policy = runDay(PolicyPlacer::new, "policy", shape, jobs, seed, false);
    DayFigures first = runDay(FirstFitPlacer::new, "first fit", shape, jobs, seed, false);
    DayFigures best = runDay(BestFitPlacer::new, "best fit", shape, jobs, seed, false);
    double packing = packing(new PolicyPlacer(), shape, seed);
    double firstPacking = packing(new FirstFitPlacer(), shape, seed);
    Map<String, Object> figures = new LinkedHashMap<>(policy.toMap());
    figures.put("packing", Figures.rounded(packing));
    figures.put(
        "wait_vs_first_fit",
        Figures.rounded(policy.meanWaitSeconds() / Math.max(0.001, first.meanWaitSeconds())));
    figures.put(
        "wait_vs_best_fit",
        Figures.rounded(policy.meanWaitSeconds() / Math.max(0.001, best.meanWaitSeconds())));
    figures.put("packing_vs_first_fit", Figures.rounded(packing / firstPacking));
    figures.put("packing_first_fit", Figures.rounded(firstPacking));
    figures.put("packing_best_fit", Figures.rounded(packing(new BestFitPlacer(), shape, seed)));
    figures.put("quota_error", Figures.rounded(quotaError(shape, seed)));
    figures.put("first_fit", first.toMap());
    figures.put("best_fit", best.toMap());
    return figures;
  }

  /** Simulates a day that overloads the accelerators; packing and quotas are not measured. */
  private static Map<String, Object> runOverload(CellShape shape, int jobs, long seed) {
    DayFigures policy = runDay(PolicyPlacer::new, "policy, overloaded", shape, jobs, seed, true);
    DayFigures first =
        runDay(FirstFitPlacer::new, "first fit, overloaded", shape, jobs, seed, true);
    Map<String, Object> figures = new LinkedHashMap<>(policy.toMap());
    figures.put(
        "wait_vs_first_fit",
        Figures.rounded(policy.meanWaitSeconds() / Math.max(0.001, first.meanWaitSeconds())));
    figures.put("first_fit", first.toMap());
    return figures;
  }

  private static DayFigures runDay(
      Supplier<Placer> placer,
      String name,
      CellShape shape,
      int jobs,
      long seed,
      boolean overloaded) {
    RandomGenerator random = new Well19937c(seed);
    JobCatalog catalog = new JobCatalog(shape, random);
    List<PlannedJob> stream = new JobStream(shape, catalog, random, jobs, LOAD, overloaded).jobs();
    PlacementSettings settings =
        new PlacementSettings(catalog.quotas(), HALF_LIFE_MILLIS, MAX_PREEMPTIONS);
    Placer admission = new PolicyPlacer();
    admission.configure(settings);
    shape.specs().forEach(admission::addWorker);
    List<PlannedJob> admitted =
        stream.stream()
            .filter(job -> admission.check(job.spec()) instanceof Admission.Admitted)
            .toList();
    long begin = System.nanoTime();
    DayFigures figures =
        new DayRun(placer.get(), new Well19937c(seed + 1), new DayFigures())
            .run(shape, admitted, settings, true);
    System.err.printf(
        "policy: %s, %s took %.1f s%n", shape.name(), name, (System.nanoTime() - begin) / 1e9);
    return figures;
  }

  private static double packing(Placer placer, CellShape shape, long seed) {
    return FillRun.packing(placer, shape, new JobCatalog(shape, new Well19937c(seed)));
  }

  private static double quotaError(CellShape shape, long seed) {
    RandomGenerator random = new Well19937c(seed);
    return new ShareRun(new PolicyPlacer(), shape, random)
        .maxRelativeError(new JobCatalog(shape, random).quotas());
  }
}
