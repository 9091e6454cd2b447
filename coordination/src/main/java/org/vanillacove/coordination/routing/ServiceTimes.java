package org.vanillacove.coordination.routing;

import java.util.EnumMap;
import java.util.Map;

/** Observed service times of each class over all backend servers of usual speed; thread-safe. */
final class ServiceTimes {
  /** Weight of a new observation once there are many. */
  private static final double WEIGHT = 0.02;

  /** Observations after which the mean of the mix is good enough to refuse requests by. */
  private static final int ENOUGH = 100;

  /** Observations by class. */
  private final Map<RequestClass, Integer> counts = new EnumMap<>(RequestClass.class);

  /** Mean service time in milliseconds by class. */
  private final Map<RequestClass, Double> means = new EnumMap<>(RequestClass.class);

  /** Mean service time of the whole mix in milliseconds. */
  private double mixMean = RequestClass.MIDDLE.priorMillis();

  /** Observations of all classes. */
  private int count;

  ServiceTimes() {
    for (RequestClass each : RequestClass.values()) {
      means.put(each, (double) each.priorMillis());
    }
  }

  /** Returns the mean service time of a class in milliseconds. */
  synchronized double mean(RequestClass requestClass) {
    return means.get(requestClass);
  }

  /** Returns the mean service time of the mix in milliseconds. */
  synchronized double mixMean() {
    return mixMean;
  }

  /** Returns whether there are enough observations to refuse requests by. */
  synchronized boolean isReliable() {
    return count >= ENOUGH;
  }

  /** Adds an observation in milliseconds. */
  synchronized void observe(RequestClass requestClass, double serviceMillis) {
    int seen = counts.merge(requestClass, 1, Integer::sum);
    means.merge(requestClass, serviceMillis, (mean, now) -> mean + weight(seen) * (now - mean));
    count++;
    mixMean += weight(count) * (serviceMillis - mixMean);
  }

  private static double weight(int seen) {
    return Math.max(WEIGHT, 1.0 / seen);
  }
}
