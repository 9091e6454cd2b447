package org.vanillacove.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.Resources;

/** Jobs of one day whose offered load is a given share of the capacity of a cell. */
final class JobStream {
  /** Length of a day in milliseconds. */
  static final long DAY_MILLIS = 86_400_000;

  /** Number of task starts per second at the peaks. */
  private static final int PEAK_STARTS_PER_SECOND = 32;

  /** Duration of a peak in seconds. */
  private static final int PEAK_SECONDS = 20;

  /** Share of the capacity taken by services. */
  private static final double SERVICE_SHARE = 0.2;

  /** Factor that converts weights to integers. */
  private static final int WEIGHT_SCALE = 1_000;

  /** Sigma of the log-normal distribution of run times. */
  private static final double RUN_SIGMA = 1.2;

  /** Sigma of the log-normal error of declared run times and sizes. */
  private static final double ERROR_SIGMA = 0.8;

  /** Jobs of the day, ordered by time of submission. */
  private final List<PlannedJob> jobs = new ArrayList<>();

  /** Source of all random choices. */
  private final RandomGenerator random;

  /** Job families that the jobs are drawn from. */
  private final JobCatalog catalog;

  /** Sum of the capacities of all workers of the cell. */
  private final Resources totalCapacity;

  /** Whether the load of accelerators may exceed their number; it is limited otherwise. */
  private final boolean overloaded;

  JobStream(
      CellShape shape,
      JobCatalog catalog,
      RandomGenerator random,
      int count,
      double load,
      boolean overloaded) {
    this.overloaded = overloaded;
    this.random = random;
    this.catalog = catalog;
    this.totalCapacity = shape.totalCapacity();
    addServices();
    addDailyJobs(count, load, shape.workers());
    jobs.sort(Comparator.comparingLong(PlannedJob::atMillis));
  }

  List<PlannedJob> jobs() {
    return jobs;
  }

  /** Adds services within the quotas of their teams, since placers that enforce them stop there. */
  private void addServices() {
    Map<String, Resources> quotas = catalog.quotas();
    Map<String, Resources> held = new HashMap<>();
    double taken = 0;
    for (int i = 0; taken < SERVICE_SHARE; i++) {
      JobSpec spec = catalog.service(i);
      Resources size = spec.resources().times(spec.taskCount());
      Resources sum = held.getOrDefault(spec.team(), Resources.NONE).plus(size);
      if (sum.fitsIn(quotas.get(spec.team()))) {
        held.put(spec.team(), sum);
        taken += dominantShare(size);
        jobs.add(new PlannedJob("service" + i, spec, 0, 0, 1));
      }
    }
  }

  private void addDailyJobs(int count, double load, int workers) {
    LogNormalDistribution runs = new LogNormalDistribution(random, 0, RUN_SIGMA);
    LogNormalDistribution errors = new LogNormalDistribution(random, 0, ERROR_SIGMA);
    List<JobSpec> specs = new ArrayList<>();
    double[] weights = new double[count];
    Resources plain = Resources.NONE;
    Resources accelerated = Resources.NONE;
    for (int i = 0; i < count; i++) {
      JobSpec spec = catalog.randomJob(0.05);
      specs.add(spec);
      boolean urgent = spec.priority() == PriorityClass.URGENT;
      weights[i] = Math.min(20, runs.sample()) * (urgent ? 0.1 : 1);
      Resources size = spec.resources().times(spec.taskCount());
      Resources work = size.times((int) Math.max(1, Math.round(weights[i] * WEIGHT_SCALE)));
      if (size.accelerators() > 0) {
        accelerated = accelerated.plus(work);
      } else {
        plain = plain.plus(work);
      }
    }
    double acceleratedUnit = acceleratedMillisPerWeight(plain, accelerated, load);
    double plainUnit = plainMillisPerWeight(plain, accelerated, load, acceleratedUnit);
    int peakJobs = Math.max(1, PEAK_STARTS_PER_SECOND * PEAK_SECONDS * workers / 560 / 4);
    for (int i = 0; i < count; i++) {
      double unit = specs.get(i).resources().accelerators() > 0 ? acceleratedUnit : plainUnit;
      long run = Math.max(1_000, (long) (weights[i] * unit));
      long declared = Math.max(1_000, (long) (run * errors.sample()));
      long at = (long) (random.nextDouble() * DAY_MILLIS);
      if (i < 3 * peakJobs) {
        at = (1 + i / peakJobs) * DAY_MILLIS / 4 + random.nextInt(PEAK_SECONDS * 1_000);
      }
      double use = Math.min(1, 0.7 * errors.sample());
      jobs.add(new PlannedJob("j" + i, withDeclaredRunTime(specs.get(i), declared), at, run, use));
    }
  }

  /** Returns the run time per unit of weight of jobs with accelerators, in milliseconds. */
  private double acceleratedMillisPerWeight(Resources plain, Resources accelerated, double load) {
    double even =
        (load - SERVICE_SHARE) * DAY_MILLIS * WEIGHT_SCALE / dominantShare(plain.plus(accelerated));
    if (overloaded || accelerated.accelerators() == 0) {
      return even;
    }
    double work = accelerated.accelerators() / (double) totalCapacity.accelerators();
    return Math.min(even, load * DAY_MILLIS * WEIGHT_SCALE / work);
  }

  /** Returns the run time per unit of weight of jobs without accelerators, in milliseconds. */
  private double plainMillisPerWeight(
      Resources plain, Resources accelerated, double load, double acceleratedUnit) {
    double time = (load - SERVICE_SHARE) * DAY_MILLIS * WEIGHT_SCALE;
    double cpu =
        (time * totalCapacity.cpuMillis() - acceleratedUnit * accelerated.cpuMillis())
            / plain.cpuMillis();
    double memory =
        (time * totalCapacity.memoryMib() - acceleratedUnit * accelerated.memoryMib())
            / plain.memoryMib();
    return Math.min(cpu, memory);
  }

  private double dominantShare(Resources size) {
    return Math.max(
        size.cpuMillis() / (double) totalCapacity.cpuMillis(),
        size.memoryMib() / (double) totalCapacity.memoryMib());
  }

  private static JobSpec withDeclaredRunTime(JobSpec spec, long runMillis) {
    return new JobSpec(
        spec.name(),
        spec.team(),
        spec.kind(),
        spec.priority(),
        spec.taskCount(),
        spec.resources(),
        spec.constraints(),
        spec.rerun(),
        spec.loss(),
        spec.checkpointable(),
        runMillis,
        spec.command());
  }
}
