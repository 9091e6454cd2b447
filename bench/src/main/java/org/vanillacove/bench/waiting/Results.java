package org.vanillacove.bench.waiting;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.vanillacove.coordination.routing.RequestClass;

/** Waiting times and outcomes of the requests of a workload under one policy. */
final class Results {
  /** Time before which arrivals are not measured but warm up the policy, in milliseconds. */
  static final long WARM_UP_MILLIS = 10_000;

  /** Times from arrival to answer of measured requests, less the service time, in milliseconds. */
  private final Histogram waits = new Histogram(3);

  /** Times from arrival to answer of measured quick requests, in milliseconds. */
  private final Histogram quickLatencies = new Histogram(3);

  /** Number of runs, by number of the request. */
  private final Map<Integer, Integer> runs = new HashMap<>();

  /** Number of measured requests that were answered or refused. */
  private int measured;

  /** Number of measured requests that were refused. */
  private int refused;

  /** Number of measured requests that failed. */
  private int failed;

  /** Number of runs of measured requests on a backend server of another region. */
  private int crossRegion;

  /** Number of requests that were refused although they had run. */
  private int falseNotRun;

  /** Records that a request is sent to a backend server to run. */
  void recordRun(Arrival arrival, int backend) {
    runs.merge(arrival.number(), 1, Integer::sum);
    boolean far = arrival.host() % Fleet.REGIONS != backend % Fleet.REGIONS;
    crossRegion += far && isMeasured(arrival) ? 1 : 0;
  }

  /** Records an answer that arrives at the entry host at the given time. */
  void recordAnswer(Arrival arrival, boolean success, long nowMillis) {
    if (!isMeasured(arrival)) {
      return;
    }
    measured++;
    failed += success ? 0 : 1;
    long total = nowMillis - arrival.atMillis();
    waits.recordValue(Math.max(0, total - arrival.serviceMillis()));
    if (arrival.requestClass() == RequestClass.QUICK) {
      quickLatencies.recordValue(total);
    }
  }

  /** Records a refusal. */
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
    return quickLatencies.getValueAtPercentile(99);
  }

  double refusedShare() {
    return (double) refused / Math.max(1, measured);
  }

  double failedShare() {
    return (double) failed / Math.max(1, measured);
  }

  double crossRegionShare() {
    return (double) crossRegion / Math.max(1, measured);
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
