package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.FairShare;

/**
 * Reports on organisations to operators: metrics of those with the most waiting jobs and of all
 * others together, and log lines when the cap of one begins or ceases to hold back its tasks.
 */
final class OrganisationReport {
  /** Logs organisations that are held back by their caps (prefix {@code organisations:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Period of the report. */
  private static final long PERIOD_MILLIS = 1_000;

  /** Time without a task held back after which an organisation counts as free again. */
  private static final long FREE_MILLIS = 5_000;

  /** Maximum number of organisations with metrics of their own. */
  private static final int MAX_REPORTED = 20;

  /** Name of the metrics of all other organisations together. */
  private static final String OTHERS = "others";

  /** Jobs that wait. */
  private final JobTable jobs;

  /** Use and caps of organisations. */
  private final OrganisationUsage usage;

  /** Sessions by worker identifier; maintained by the cell. */
  private final Map<String, WorkerSession> workers;

  /** Receives the values. */
  private final CellMetrics metrics;

  /** Monotonic time at which a task of each organisation was last held back, in milliseconds. */
  private final Map<String, Long> heldBack = new HashMap<>();

  /** Monotonic time of the last report in milliseconds; negative before the first one. */
  private long reportedMillis = -PERIOD_MILLIS;

  /** Creates a report of which nothing is published. */
  OrganisationReport(
      JobTable jobs,
      OrganisationUsage usage,
      Map<String, WorkerSession> workers,
      CellMetrics metrics) {
    this.jobs = jobs;
    this.usage = usage;
    this.workers = workers;
    this.metrics = metrics;
  }

  /**
   * Present values of an organisation.
   *
   * @param name its name
   * @param use what its runs use
   * @param cap its cap; a component of 0 is no limit
   * @param share dominant use, as a part of the capacity of all workers
   * @param waitingJobs number of accepted jobs of which no task has started
   * @param rejectedJobs number of submissions that this leader rejected
   * @param oldestWaitMillis age of the oldest waiting job
   */
  record Row(
      String name,
      Resources use,
      Resources cap,
      double share,
      int waitingJobs,
      long rejectedJobs,
      long oldestWaitMillis) {
    private Row and(Row other) {
      return new Row(
          name,
          use.plus(other.use),
          cap.plus(other.cap),
          share + other.share,
          waitingJobs + other.waitingJobs,
          rejectedJobs + other.rejectedJobs,
          Math.max(oldestWaitMillis, other.oldestWaitMillis));
    }
  }

  /** Publishes the present values, at most once a period. */
  void run(long nowMillis) {
    if (nowMillis - reportedMillis < PERIOD_MILLIS) {
      return;
    }
    reportedMillis = nowMillis;
    Set<String> held = usage.takeHeldBack();
    if (usage.configured().all().isEmpty() && held.isEmpty() && heldBack.isEmpty()) {
      return;
    }
    List<Row> rows = rows(nowMillis);
    metrics.organisations(bounded(rows));
    logHeldBack(held, rows, nowMillis);
  }

  /** Withdraws the values at the end of the term. */
  void close() {
    metrics.organisations(List.of());
  }

  private List<Row> rows(long nowMillis) {
    Map<String, Integer> waiting = new HashMap<>();
    Map<String, Long> oldest = new HashMap<>();
    for (TrackedJob job : jobs.open()) {
      if (job.stage() == TrackedJob.Stage.OPEN && !job.isStarted()) {
        String name = OrganisationUsage.nameOf(job.spec());
        waiting.merge(name, 1, Integer::sum);
        oldest.merge(name, nowMillis - job.submittedMillis(), Math::max);
      }
    }
    FairShare shares = new FairShare(FairOrder.capacity(workers.values()), usage.weights());
    Set<String> names = new HashSet<>(usage.weights().keySet());
    names.addAll(waiting.keySet());
    List<Row> rows = new ArrayList<>();
    for (String name : names) {
      rows.add(
          new Row(
              name,
              usage.use(name),
              usage.lastCap(name),
              shares.dominantUse(usage.use(name)),
              waiting.getOrDefault(name, 0),
              usage.rejected(name),
              oldest.getOrDefault(name, 0L)));
    }
    return rows;
  }

  private static List<Row> bounded(List<Row> rows) {
    Comparator<Row> order =
        Comparator.comparingInt(Row::waitingJobs)
            .thenComparingLong(row -> row.use().cpuMillis())
            .reversed()
            .thenComparing(Row::name);
    List<Row> sorted = rows.stream().sorted(order).toList();
    if (sorted.size() <= MAX_REPORTED) {
      return sorted;
    }
    List<Row> bounded = new ArrayList<>(sorted.subList(0, MAX_REPORTED));
    Row none = new Row(OTHERS, Resources.NONE, Resources.NONE, 0, 0, 0, 0);
    bounded.add(sorted.stream().skip(MAX_REPORTED).reduce(none, Row::and));
    return bounded;
  }

  private void logHeldBack(Set<String> held, List<Row> rows, long nowMillis) {
    Map<String, Row> byName = new HashMap<>();
    rows.forEach(row -> byName.put(row.name(), row));
    for (String name : held) {
      if (heldBack.put(name, nowMillis) == null && byName.containsKey(name)) {
        Row row = byName.get(name);
        LOG.atInfo().log(
            "organisations: held back by cap organisation=%s use=%s cap=%s unknown_runs=%s"
                + " waiting_jobs=%d oldest_ms=%d",
            name,
            text(row.use()),
            text(row.cap()),
            usage.unknown().map(OrganisationReport::text).orElse("unbounded"),
            row.waitingJobs(),
            row.oldestWaitMillis());
      }
    }
    heldBack
        .entrySet()
        .removeIf(
            each -> {
              boolean free = nowMillis - each.getValue() > FREE_MILLIS;
              if (free) {
                LOG.atInfo().log(
                    "organisations: not held back any more organisation=%s", each.getKey());
              }
              return free;
            });
  }

  private static String text(Resources resources) {
    return resources.cpuMillis() + "/" + resources.memoryMib() + "/" + resources.accelerators();
  }
}
