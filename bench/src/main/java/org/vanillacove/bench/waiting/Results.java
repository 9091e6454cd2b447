package org.vanillacove.bench.waiting;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.vanillacove.coordination.routing.RequestClass;

/** What came of a workload under one policy. */
final class Results {
  /** Arrivals before this time only warm the policy up, in milliseconds. */
  static final long WARM_UP_MILLIS = 10_000;

  /** Waits of answered requests in milliseconds. */
  private final Histogram waits = new Histogram(3);

  /** Times from arrival to answer of quick requests in milliseconds. */
  private final Histogram quick = new Histogram(3);

  /** Runs by request. */
  private final Map<Integer, Integer> runs = new HashMap<>();

  /** Measured requests. */
  private int measured;

  /** Measured requests that were refused. */
  private int refused;

  /** Measured requests that failed. */
  private int failed;

  /** Measured requests that crossed regions. */
  private int crossed;

  /** Refused requests that had run. */
  private int falseNotRun;

  /** Counts a run at a backend server. */
  void ran(Arrival arrival, int backend) {
    runs.merge(arrival.number(), 1, Integer::sum);
    boolean far = arrival.host() % Fleet.REGIONS != backend % Fleet.REGIONS;
    crossed += far && isMeasured(arrival) ? 1 : 0;
  }

  /** Counts an answer that arrived at a time. */
  void answered(Arrival arrival, boolean success, long nowMillis) {
    if (!isMeasured(arrival)) {
      return;
    }
    measured++;
    failed += success ? 0 : 1;
    long total = nowMillis - arrival.atMillis();
    waits.recordValue(Math.max(0, total - arrival.serviceMillis()));
    if (arrival.requestClass() == RequestClass.QUICK) {
      quick.recordValue(total);
    }
  }

  /** Counts a refusal. */
  void refused(Arrival arrival) {
    falseNotRun += runs.containsKey(arrival.number()) ? 1 : 0;
    if (isMeasured(arrival)) {
      measured++;
      refused++;
    }
  }

  double p99Wait() {
    return Math.max(1, waits.getValueAtPercentile(99));
  }

  double p50Wait() {
    return waits.getValueAtPercentile(50);
  }

  double quickP99() {
    return quick.getValueAtPercentile(99);
  }

  double refusedShare() {
    return (double) refused / Math.max(1, measured);
  }

  double failedShare() {
    return (double) failed / Math.max(1, measured);
  }

  double crossedShare() {
    return (double) crossed / Math.max(1, measured);
  }

  int falseNotRun() {
    return falseNotRun;
  }

  long duplicates() {
    return runs.values().stream().filter(count -> count > 1).count();
  }

  private static boolean isMeasured(Arrival arrival) {
    return arrival.atMillis() >= WARM_UP_MILLIS;
  }
}
