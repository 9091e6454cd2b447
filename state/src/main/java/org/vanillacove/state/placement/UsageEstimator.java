package org.vanillacove.state.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Corrects declared sizes and run times by the observed usage of earlier tasks of the same family.
 *
 * <p>Declared values are used until {@link #MIN_SAMPLES} tasks have ended. Run times are corrected
 * in both directions. Sizes are only corrected upwards: the committed size is never below the
 * declared one, so the sum of declared sizes never exceeds the capacity of a worker.
 */
final class UsageEstimator {
  /** Run time assumed for services, which have no expected end, in milliseconds. */
  static final long OPEN_ENDED_MILLIS = Long.MAX_VALUE / 4;

  /** Number of tasks that must have ended before declared values are corrected. */
  static final int MIN_SAMPLES = 3;

  /** Quantile of run times that determines the rank in the queue. */
  static final double TYPICAL_QUANTILE = 0.5;

  /** Quantile of run times that reservations and backfilling are planned with. */
  static final double HIGH_QUANTILE = 0.9;

  /** Quantile of peak usage that sizes are corrected to. */
  static final double SIZE_QUANTILE = 0.95;

  /** Run time assumed for jobs that declare none, in milliseconds. */
  private static final long UNDECLARED_RUN_MILLIS = 600_000;

  /** Maximum number of families remembered; the least recently used one is evicted. */
  private static final int MAX_FAMILIES = 4_096;

  /** Histories by family, the most recently used one last. */
  private final Map<JobFamily, History> histories = new LinkedHashMap<>(64, 0.75f, true);

  /** Run times and peak usage of ended tasks, each as a ratio to the declared value. */
  private static final class History {
    /** Ratios of the run time; no samples for services. */
    private final SampleWindow runs = new SampleWindow();

    /** Ratios of the peak processor usage. */
    private final SampleWindow cpu = new SampleWindow();

    /** Ratios of the peak memory usage. */
    private final SampleWindow memory = new SampleWindow();
  }

  /** Records a task that succeeded after {@code ranMillis}. */
  void recordRun(RunningTask task, long ranMillis) {
    JobSpec spec = task.job().spec();
    History history = histories.computeIfAbsent(JobFamily.of(spec), f -> new History());
    if (histories.size() > MAX_FAMILIES) {
      histories.remove(histories.keySet().iterator().next());
    }
    if (spec.kind() != WorkloadKind.SERVICE) {
      history.runs.add(ranMillis / (double) declaredMillis(spec));
    }
    if (!task.peak().equals(Resources.NONE)) {
      history.cpu.add(ratio(task.peak().cpuMillis(), spec.resources().cpuMillis()));
      history.memory.add(ratio(task.peak().memoryMib(), spec.resources().memoryMib()));
    }
  }

  /** Returns the median run time in milliseconds. */
  long typicalMillis(JobSpec spec) {
    return correctedRunMillis(spec, TYPICAL_QUANTILE);
  }

  /** Returns the 90th percentile of the run time in milliseconds. */
  long highMillis(JobSpec spec) {
    return correctedRunMillis(spec, HIGH_QUANTILE);
  }

  /** Returns the size to commit for a task, never below the declared one. */
  Resources size(JobSpec spec) {
    History history = histories.get(JobFamily.of(spec));
    if (history == null || history.memory.size() < MIN_SAMPLES) {
      return spec.resources();
    }
    Resources declared = spec.resources();
    return new Resources(
        raisedToUsage(declared.cpuMillis(), history.cpu),
        raisedToUsage(declared.memoryMib(), history.memory),
        declared.accelerators());
  }

  private long correctedRunMillis(JobSpec spec, double quantile) {
    if (spec.kind() == WorkloadKind.SERVICE) {
      return OPEN_ENDED_MILLIS;
    }
    History history = histories.get(JobFamily.of(spec));
    long declared = declaredMillis(spec);
    if (history == null || history.runs.size() < MIN_SAMPLES) {
      return declared;
    }
    return Math.max(1, (long) (declared * history.runs.quantile(quantile)));
  }

  private static long declaredMillis(JobSpec spec) {
    return spec.expectedRunMillis() > 0 ? spec.expectedRunMillis() : UNDECLARED_RUN_MILLIS;
  }

  private static double ratio(long used, long declared) {
    return declared <= 0 ? 1 : used / (double) declared;
  }

  private static long raisedToUsage(long declared, SampleWindow ratios) {
    return Math.max(declared, (long) Math.ceil(declared * ratios.quantile(SIZE_QUANTILE)));
  }
}
