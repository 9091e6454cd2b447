package org.vanillacove.state.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Corrects declared sizes and run times by what earlier tasks of the family were seen to need.
 *
 * <p>Declared values are priors that hold until {@link #MIN_SAMPLES} tasks have ended. Run times
 * are corrected both ways. Sizes are corrected upwards only: what is committed is never less than
 * what was declared, so that the sum of declared sizes never passes the capacity of a worker.
 */
final class UsageEstimator {
  /** Expected run time of a task that has no end, in milliseconds. */
  static final long OPEN_ENDED_MILLIS = Long.MAX_VALUE / 4;

  /** Tasks that must have ended before declared values are corrected. */
  static final int MIN_SAMPLES = 3;

  /** Quantile of run times that orders the queue. */
  static final double TYPICAL_QUANTILE = 0.5;

  /** Quantile of run times that promises of a reservation rest on. */
  static final double HIGH_QUANTILE = 0.9;

  /** Quantile of highest use that sizes are corrected to. */
  static final double SIZE_QUANTILE = 0.95;

  /** Run time of a task that declared none, in milliseconds. */
  private static final long UNDECLARED_RUN_MILLIS = 600_000;

  /** Families remembered; the one that was unused for longest goes first. */
  private static final int MAX_FAMILIES = 4_096;

  /** What was seen by family, the one used last at the end. */
  private final Map<JobFamily, History> histories = new LinkedHashMap<>(64, 0.75f, true);

  /** What ended tasks of a family needed, in relation to what was declared. */
  private static final class History {
    /** Run times. */
    private final SampleWindow runs = new SampleWindow();

    /** Highest processor use. */
    private final SampleWindow cpu = new SampleWindow();

    /** Highest memory use. */
    private final SampleWindow memory = new SampleWindow();
  }

  /** Takes note of a task that ended with success after {@code ranMillis}. */
  void ended(RunningTask task, long ranMillis) {
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

  /** Returns the run time that half of the tasks do not pass, in milliseconds. */
  long typicalMillis(JobSpec spec) {
    return corrected(spec, TYPICAL_QUANTILE);
  }

  /** Returns the run time that nine tasks in ten do not pass, in milliseconds. */
  long highMillis(JobSpec spec) {
    return corrected(spec, HIGH_QUANTILE);
  }

  /** Returns the size to commit for a task, at least the declared one. */
  Resources size(JobSpec spec) {
    History history = histories.get(JobFamily.of(spec));
    if (history == null || history.memory.size() < MIN_SAMPLES) {
      return spec.resources();
    }
    Resources declared = spec.resources();
    return new Resources(
        raised(declared.cpuMillis(), history.cpu),
        raised(declared.memoryMib(), history.memory),
        declared.accelerators());
  }

  private long corrected(JobSpec spec, double quantile) {
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

  private static long raised(long declared, SampleWindow ratios) {
    return Math.max(declared, (long) Math.ceil(declared * ratios.quantile(SIZE_QUANTILE)));
  }
}
