package org.vanillacove.coordination.routing;

import java.util.EnumMap;
import java.util.Map;

/** Observed service times of each class over all backend servers of usual speed; thread-safe. */
final class ServiceTimes {
  /** Weight of a new observation once there are many. */
  private static final double SMOOTHING_FACTOR = 0.02;

  /** Observations after which the mean of the mix is good enough to refuse requests by. */
  private static final int MIN_OBSERVATIONS = 100;

  /** Observations by class. */
  private final Map<RequestClass, Integer> counts = new EnumMap<>(RequestClass.class);

  /** Mean service time in milliseconds by class. */
  private final Map<RequestClass, Double> means = new EnumMap<>(RequestClass.class);

  /** Mean service time of the whole mix in milliseconds. */
  private double overallMean = RequestClass.MIDDLE.initialServiceMillis();

  /** Observations of all classes. */
  private int totalCount;

  ServiceTimes() {
    for (RequestClass each : RequestClass.values()) {
      means.put(each, (double) each.initialServiceMillis());
    }
  }

  /** Returns the mean service time of a class in milliseconds. */
  synchronized double mean(RequestClass requestClass) {
    return means.get(requestClass);
  }

  /** Returns the mean service time of the mix in milliseconds. */
  synchronized double overallMean() {
    return overallMean;
  }

  /** Returns whether there are enough observations to refuse requests by. */
  synchronized boolean isReliable() {
    return totalCount >= MIN_OBSERVATIONS;
  }

  /** Adds an observation in milliseconds. */
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
