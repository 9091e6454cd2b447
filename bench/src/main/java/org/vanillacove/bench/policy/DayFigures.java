package org.vanillacove.bench.policy;

import com.google.common.base.Splitter;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/** Waiting times, lost work and placement errors of one simulated day. */
final class DayFigures {
  /** Milliseconds in a second. */
  private static final double SECOND_MILLIS = 1_000;

  /** Times from submission to the first start of a task, by priority, in milliseconds. */
  private final Map<PriorityClass, Histogram> waits = new EnumMap<>(PriorityClass.class);

  /** Tasks whose wait is recorded, because they started or the run ended. */
  private final Set<TaskId> started = new HashSet<>();

  /** Sum of all waits in milliseconds. */
  private double waitSum;

  /** Number of waits. */
  private long waitCount;

  /** Work of all ended attempts, in thousandths of a core times milliseconds. */
  private double workDone;

  /** Work lost to preemption and failure, in thousandths of a core times milliseconds. */
  private double workWasted;

  /** Number of tasks that never started. */
  private long neverStarted;

  /** Number of jobs still waiting at the end, by the constraint that blocks them. */
  private final Map<String, Integer> waitingReasons = new TreeMap<>();

  /** Number of starts that exceeded the capacity of a worker. */
  private long overCapacity;

  /** Number of starts of tasks that were already running. */
  private long duplicates;

  DayFigures() {
    for (PriorityClass priority : PriorityClass.values()) {
      waits.put(priority, new Histogram(3));
    }
  }

  void started(PlannedJob job, TaskId task, long now) {
    if (started.add(task)) {
      record(job, now - job.atMillis());
    }
  }

  /** Records waits up to the end for tasks that never started; returns whether any exist. */
  boolean closeWaits(PlannedJob job, long end) {
    long before = neverStarted;
    for (int i = 0; i < job.spec().taskCount(); i++) {
      if (started.add(new TaskId(job.id(), i))) {
        neverStarted++;
        record(job, end - job.atMillis());
      }
    }
    return neverStarted > before;
  }

  /** Counts a job still waiting at the end under the name of the constraint that blocks it. */
  void countReason(String constraint) {
    waitingReasons.merge(Splitter.on(':').splitToList(constraint).getFirst(), 1, Integer::sum);
  }

  void ended(PlannedJob job, TaskId task, TaskOutcome outcome, long ran, boolean keeps) {
    double work = (double) ran * job.spec().resources().cpuMillis();
    workDone += work;
    boolean lost =
        switch (outcome) {
          case PREEMPTED, FAILED, LOST, UNKNOWN -> true;
          case SUCCEEDED, CANCELLED, NOT_RUN -> false;
        };
    if (lost && !keeps && job.runMillis() > 0) {
      workWasted += work;
    }
  }

  void countOverCapacity() {
    overCapacity++;
  }

  void countDuplicate() {
    duplicates++;
  }

  double meanWaitSeconds() {
    return waitSum / Math.max(1, waitCount) / SECOND_MILLIS;
  }

  double urgentP99Seconds() {
    return waits.get(PriorityClass.URGENT).getValueAtPercentile(99) / SECOND_MILLIS;
  }

  long overCapacity() {
    return overCapacity;
  }

  long duplicates() {
    return duplicates;
  }

  /** Returns the figures by their printed names. */
  Map<String, Object> toMap() {
    Map<String, Object> map = new LinkedHashMap<>();
    Map<String, Object> median = new LinkedHashMap<>();
    Map<String, Object> high = new LinkedHashMap<>();
    waits.forEach(
        (priority, histogram) -> {
          String name = priority.name().toLowerCase(Locale.ROOT);
          median.put(name, histogram.getValueAtPercentile(50) / SECOND_MILLIS);
          high.put(name, histogram.getValueAtPercentile(99) / SECOND_MILLIS);
        });
    map.put("wait_mean_s", Figures.rounded(meanWaitSeconds()));
    map.put("wait_p50_s", median);
    map.put("wait_p99_s", high);
    map.put("urgent_p99_s", urgentP99Seconds());
    map.put("wasted_share", Figures.rounded(workWasted / Math.max(1, workDone)));
    map.put("never_started", neverStarted);
    map.put("waiting_at_end_for", waitingReasons);
    map.put("over_capacity", overCapacity);
    map.put("duplicates", duplicates);
    return map;
  }

  private void record(PlannedJob job, long wait) {
    waits.get(job.spec().priority()).recordValue(wait);
    waitSum += wait;
    waitCount++;
  }
}
