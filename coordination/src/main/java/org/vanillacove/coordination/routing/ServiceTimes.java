package org.vanillacove.coordination.routing;

import java.util.EnumMap;
import java.util.Map;

/** Mean service times by class, observed on backend servers of normal speed; thread-safe. */
final class ServiceTimes {
  /** Minimum weight of a new observation; the first ones weigh more, as in a plain mean. */
  private static final double SMOOTHING_FACTOR = 0.02;

  /** Number of observations from which the means are reliable enough to reject requests. */
  private static final int MIN_OBSERVATIONS = 100;

  /** Number of observations by class. */
  private final Map<RequestClass, Integer> counts = new EnumMap<>(RequestClass.class);

  /** Mean service time by class, in milliseconds. */
  private final Map<RequestClass, Double> means = new EnumMap<>(RequestClass.class);

  /** Mean service time over all classes as mixed in the traffic, in milliseconds. */
  private double overallMean = RequestClass.MIDDLE.initialServiceMillis();

  /** Number of observations of all classes. */
  private int totalCount;

  ServiceTimes() {
    for (RequestClass each : RequestClass.values()) {
      means.put(each, (double) each.initialServiceMillis());
    }
  }

  /** Returns the mean service time of a class, in milliseconds. */
  synchronized double mean(RequestClass requestClass) {
    return means.get(requestClass);
  }

  /** Returns the mean service time over all classes, in milliseconds. */
  synchronized double overallMean() {
    return overallMean;
  }

  /** Returns whether there are enough observations to reject requests by the expected wait. */
  synchronized boolean isReliable() {
    return totalCount >= MIN_OBSERVATIONS;
  }

  /** Adds an observed service time, in milliseconds. */
  synchronized void observe(RequestClass requestClass, double serviceMillis) {
    int seen = counts.merge(requestClass, 1, Integer::sum);
    means.merge(requestClass, serviceMillis, (mean, now) -> mean + weight(seen) * (now - mean));
    totalCount++;
    overallMean += weight(totalCount) * (serviceMillis - overallMean);
  }

  private static double weight(int seen) {
    return Math.max(SMOOTHING_FACTOR, 1.0 / seen);
  }
}
