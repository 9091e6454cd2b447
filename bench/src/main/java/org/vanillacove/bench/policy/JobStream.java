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

/** A day of jobs whose offered load is a stated part of a cell. */
final class JobStream {
  /** Length of a day in milliseconds. */
  static final long DAY_MILLIS = 86_400_000;

  /** Task starts in a second at the peaks. */
  private static final int PEAK_STARTS = 32;

  /** Length of a peak in seconds. */
  private static final int PEAK_SECONDS = 20;

  /** Part of the capacity that services take. */
  private static final double SERVICE_PART = 0.2;

  /** Steps that a weight of one is counted in. */
  private static final int WEIGHT_SCALE = 1_000;

  /** Spread of run times. */
  private static final double RUN_SIGMA = 1.2;

  /** Spread of the error of declared run times and sizes. */
  private static final double ERROR_SIGMA = 0.8;

  /** Jobs of the day, in order of time. */
  private final List<PlannedJob> jobs = new ArrayList<>();

  /** Source of choices. */
  private final RandomGenerator random;

  /** Families. */
  private final JobCatalog catalog;

  /** Capacity of the cell. */
  private final Resources total;

  /** Whether the load of the accelerators is left unscaled, which may pass their number. */
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
    this.total = shape.total();
    addServices();
    addDay(count, load, shape.workers());
    jobs.sort(Comparator.comparingLong(PlannedJob::atMillis));
  }

  List<PlannedJob> jobs() {
    return jobs;
  }

  /** Adds services within the quotas of their teams, which no placer that holds quotas passes. */
  private void addServices() {
    Map<String, Resources> quotas = catalog.quotas();
    Map<String, Resources> held = new HashMap<>();
    double taken = 0;
    for (int i = 0; taken < SERVICE_PART; i++) {
      JobSpec spec = catalog.service(i);
      Resources size = spec.resources().times(spec.taskCount());
      Resources sum = held.getOrDefault(spec.team(), Resources.NONE).plus(size);
      if (sum.fitsIn(quotas.get(spec.team()))) {
        held.put(spec.team(), sum);
        taken += share(size);
        jobs.add(new PlannedJob("service" + i, spec, 0, 0, 1));
      }
    }
  }

  private void addDay(int count, double load, int workers) {
    LogNormalDistribution runs = new LogNormalDistribution(random, 0, RUN_SIGMA);
    LogNormalDistribution errors = new LogNormalDistribution(random, 0, ERROR_SIGMA);
    List<JobSpec> specs = new ArrayList<>();
    double[] weights = new double[count];
    Resources plain = Resources.NONE;
    Resources accelerated = Resources.NONE;
    for (int i = 0; i < count; i++) {
      JobSpec spec = catalog.draw(0.05);
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
    double acceleratedUnit = acceleratedUnit(plain, accelerated, load);
    double plainUnit = plainUnit(plain, accelerated, load, acceleratedUnit);
    int peakJobs = Math.max(1, PEAK_STARTS * PEAK_SECONDS * workers / 560 / 4);
    for (int i = 0; i < count; i++) {
      double unit = specs.get(i).resources().accelerators() > 0 ? acceleratedUnit : plainUnit;
      long run = Math.max(1_000, (long) (weights[i] * unit));
      long declared = Math.max(1_000, (long) (run * errors.sample()));
      long at = (long) (random.nextDouble() * DAY_MILLIS);
      if (i < 3 * peakJobs) {
        at = (1 + i / peakJobs) * DAY_MILLIS / 4 + random.nextInt(PEAK_SECONDS * 1_000);
      }
      double use = Math.min(1, 0.7 * errors.sample());
      jobs.add(new PlannedJob("j" + i, declare(specs.get(i), declared), at, run, use));
    }
  }

  /** Returns the run time of a unit of weight of the jobs with accelerators, in milliseconds. */
  private double acceleratedUnit(Resources plain, Resources accelerated, double load) {
    double even =
        (load - SERVICE_PART) * DAY_MILLIS * WEIGHT_SCALE / share(plain.plus(accelerated));
    if (overloaded || accelerated.accelerators() == 0) {
      return even;
    }
    double work = accelerated.accelerators() / (double) total.accelerators();
    return Math.min(even, load * DAY_MILLIS * WEIGHT_SCALE / work);
  }

  /** Returns the run time of a unit of weight of all other jobs, in milliseconds. */
  private double plainUnit(
      Resources plain, Resources accelerated, double load, double acceleratedUnit) {
    double time = (load - SERVICE_PART) * DAY_MILLIS * WEIGHT_SCALE;
    double cpu =
        (time * total.cpuMillis() - acceleratedUnit * accelerated.cpuMillis()) / plain.cpuMillis();
    double memory =
        (time * total.memoryMib() - acceleratedUnit * accelerated.memoryMib()) / plain.memoryMib();
    return Math.min(cpu, memory);
  }

  private double share(Resources size) {
    return Math.max(
        size.cpuMillis() / (double) total.cpuMillis(),
        size.memoryMib() / (double) total.memoryMib());
  }

  private static JobSpec declare(JobSpec spec, long runMillis) {
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
