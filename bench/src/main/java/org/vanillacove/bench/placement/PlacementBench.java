package org.vanillacove.bench.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.vanillacove.bench.Bench;
import org.vanillacove.bench.policy.CellShape;
import org.vanillacove.bench.policy.Figures;
import org.vanillacove.bench.policy.JobCatalog;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.placement.BestFitPlacer;
import org.vanillacove.state.placement.PolicyPlacer;

/** Measures the time of a placement decision in a full cell and its growth with cell size. */
public final class PlacementBench implements Bench {
  /** Number of running tasks of a cell of the planned size. */
  private static final int RUNNING_TASKS = 7_100;

  /** Divisor of the number of tasks that gives the number of tasks of services. */
  private static final int SERVICE_TASK_DIVISOR = 5;

  /** Number of decisions before the measurement. */
  private static final int WARM_UP_DECISIONS = 60_000;

  /** Number of measured decisions. */
  private static final int MEASURED_DECISIONS = 100_000;

  /** Number of measured decisions of the slower scanning and best-fit placers. */
  private static final int SCAN_DECISIONS = 5_000;

  /** Simulated time between two decisions, in milliseconds. */
  private static final long STEP_MILLIS = 30;

  /** Creates the bench. */
  public PlacementBench() {}

  /** Decision times and memory per task at one cell size. */
  private record Timing(Histogram nanos, double meanNanos, long bytesPerTask) {}

  @Override
  public Map<String, Object> run(long seed) {
    measure(new PolicyPlacer(), 1, WARM_UP_DECISIONS, MEASURED_DECISIONS, seed);
    Timing base = measure(new PolicyPlacer(), 1, WARM_UP_DECISIONS, MEASURED_DECISIONS, seed);
    Timing scan = measure(PolicyPlacer.scanning(), 1, SCAN_DECISIONS, SCAN_DECISIONS, seed);
    Timing bestFit = measure(new BestFitPlacer(), 1, SCAN_DECISIONS, SCAN_DECISIONS, seed);
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("decisions_per_s", Math.round(1e9 / base.meanNanos()));
    putPercentiles(figures, "", base);
    figures.put("bytes_per_task", base.bytesPerTask());
    Timing last = base;
    for (int factor = 2; factor <= 8; factor *= 2) {
      last = measure(new PolicyPlacer(), factor, WARM_UP_DECISIONS, MEASURED_DECISIONS, seed);
      putPercentiles(figures, "x" + factor + "_", last);
      figures.put("scaling_x" + factor, Figures.rounded(last.meanNanos() / base.meanNanos()));
    }
    Timing lastScan =
        measure(PolicyPlacer.scanning(), 8, SCAN_DECISIONS / 4, SCAN_DECISIONS / 4, seed);
    Timing lastBestFit =
        measure(new BestFitPlacer(), 8, SCAN_DECISIONS / 4, SCAN_DECISIONS / 4, seed);
    figures.put("speedup_vs_scan", Figures.rounded(scan.meanNanos() / base.meanNanos()));
    figures.put("speedup_vs_scan_x8", Figures.rounded(lastScan.meanNanos() / last.meanNanos()));
    figures.put("speedup_vs_best_fit", Figures.rounded(bestFit.meanNanos() / base.meanNanos()));
    figures.put(
        "speedup_vs_best_fit_x8", Figures.rounded(lastBestFit.meanNanos() / last.meanNanos()));
    return figures;
  }

  private static void putPercentiles(Map<String, Object> figures, String prefix, Timing timing) {
    figures.put(prefix + "p50_us", timing.nanos().getValueAtPercentile(50) / 1e3);
    figures.put(prefix + "p99_us", timing.nanos().getValueAtPercentile(99) / 1e3);
    figures.put(prefix + "p999_us", timing.nanos().getValueAtPercentile(99.9) / 1e3);
  }

  private static Timing measure(Placer placer, int factor, int warmUp, int measured, long seed) {
    CellShape shape = factor == 1 ? CellShape.PLANNED : CellShape.PLANNED.scaledBy(factor);
    RandomGenerator random = new Well19937c(seed);
    JobCatalog catalog = new JobCatalog(shape, random);
    List<WorkerSpec> workers = shape.specs();
    long before = usedBytes();
    placer.configure(new PlacementSettings(catalog.quotas(), 3_600_000, 2));
    workers.forEach(placer::addWorker);
    Resources size = averageSize(shape);
    List<TaskId> running = fillCell(placer, catalog, size, RUNNING_TASKS * factor);
    long bytes = (usedBytes() - before) / Math.max(1, running.size());
    Histogram histogram = new Histogram(3);
    long sum = 0;
    long now = STEP_MILLIS;
    int starts = 0;
    for (int i = 0; i < warmUp + measured; i++) {
      now += STEP_MILLIS;
      JobSpec spec = task(size, random, i);
      int end = random.nextInt(running.size());
      TaskId ended = running.get(end);
      running.set(end, running.getLast());
      running.removeLast();
      long begin = System.nanoTime();
      placer.taskEnded(ended, TaskOutcome.SUCCEEDED, now);
      placer.submit("m" + i, spec, now);
      List<PlacementDecision> decisions = placer.decide(now, 64);
      long nanos = System.nanoTime() - begin;
      for (PlacementDecision decision : decisions) {
        if (decision instanceof PlacementDecision.Start start) {
          running.add(start.task());
          starts += i >= warmUp ? 1 : 0;
        }
      }
      if (i >= warmUp) {
        histogram.recordValue(nanos);
        sum += nanos;
      }
    }
    System.err.printf(
        "placement: %d workers, %d running, %d starts in %d rounds, %.1f us each%n",
        workers.size(), running.size(), starts, measured, sum / 1e3 / Math.max(1, starts));
    return new Timing(histogram, sum / (double) Math.max(1, starts), bytes);
  }

  private static List<TaskId> fillCell(
      Placer placer, JobCatalog catalog, Resources size, int tasks) {
    List<TaskId> running = new ArrayList<>();
    int services = 0;
    int batch = 0;
    while (running.size() + services < tasks) {
      if (services < tasks / SERVICE_TASK_DIVISOR) {
        JobSpec spec = catalog.service(services);
        placer.submit("service" + services, spec, 0);
        services += spec.taskCount();
      } else {
        placer.submit("b" + batch, JobCatalog.batchTask(size, team(batch), 3_600_000), 0);
        batch++;
        running.add(new TaskId("b" + (batch - 1), 0));
      }
    }
    int started = 0;
    for (int round = 0; round < tasks; round++) {
      List<PlacementDecision> decisions = placer.decide(0, 1_000);
      started += decisions.size();
      if (decisions.isEmpty()) {
        break;
      }
    }
    System.err.printf("placement: %d of %d tasks filled in%n", started, running.size() + services);
    return running;
  }

  private static JobSpec task(Resources size, RandomGenerator random, int i) {
    long percent = 50 + 25L * random.nextInt(5);
    Resources scaled =
        new Resources(
            size.cpuMillis() * percent / 100,
            size.memoryMib() * (50 + 25L * random.nextInt(5)) / 100,
            random.nextInt(10) == 0 ? 1 : 0);
    return JobCatalog.batchTask(scaled, team(i), 3_600_000);
  }

  private static String team(int number) {
    return "team" + number % CellShape.PLANNED.teams();
  }

  /** Returns a task size with which all tasks take 90% of processors and 80% of memory. */
  private static Resources averageSize(CellShape shape) {
    Resources total = shape.totalCapacity();
    long tasks = RUNNING_TASKS * (long) shape.workers() / CellShape.PLANNED.workers();
    return new Resources(total.cpuMillis() * 9 / 10 / tasks, total.memoryMib() * 8 / 10 / tasks, 0);
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
