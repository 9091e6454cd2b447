package org.vanillacove.bench.waiting;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.vanillacove.coordination.routing.RequestClass;

/** Generates seeded arrivals of a mix of quick, middle and heavy requests. */
final class Workload {
  /** Sigma of the log-normal distribution of service times within a class. */
  private static final double SERVICE_TIME_SIGMA = 0.5;

  /** Number of guests. */
  private static final int GUESTS = 200;

  private Workload() {}

  /**
   * Returns the arrivals of a period, with exponentially distributed intervals.
   *
   * @param mix shares of the request classes and their mean service times
   * @param load offered load as a share of the slots
   * @param slots number of slots of normal speed that all backend servers are equivalent to
   * @param hosts number of entry hosts
   * @param millis duration of the period in milliseconds
   */
  static List<Arrival> arrivals(
      long seed, Mix mix, double load, double slots, int hosts, long millis) {
    RandomGenerator random = new Well19937c(seed);
    double gap = mix.meanMillis() / (load * slots);
    ExponentialDistribution gaps = new ExponentialDistribution(random, gap);
    List<Arrival> arrivals = new ArrayList<>();
    for (double at = gaps.sample(); at < millis; at += gaps.sample()) {
      RequestClass requestClass = mix.pick(random.nextDouble());
      double mean = mix.meanMillis(requestClass);
      double scale = Math.log(mean) - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2;
      double service = new LogNormalDistribution(random, scale, SERVICE_TIME_SIGMA).sample();
      arrivals.add(
          new Arrival(
              arrivals.size(),
              (long) at,
              random.nextInt(hosts),
              "g" + random.nextInt(GUESTS),
              requestClass,
              Math.max(1, Math.round(service)),
              random.nextBoolean()));
    }
    return arrivals;
  }

  /**
   * Mix of request classes.
   *
   * @param name name of the mix in the printed figures
   * @param quickShare share of quick requests
   * @param middleShare share of middle requests
   * @param quickMillis mean service time of quick requests in milliseconds
   * @param middleMillis mean service time of middle requests in milliseconds
   * @param heavyMillis mean service time of heavy requests in milliseconds
   * @param zoneMillis one-way latency between availability zones in milliseconds
   */
  record Mix(
      String name,
      double quickShare,
      double middleShare,
      double quickMillis,
      double middleMillis,
      double heavyMillis,
      long zoneMillis) {
    RequestClass pick(double draw) {
      if (draw < quickShare) {
        return RequestClass.QUICK;
      }
      return draw < quickShare + middleShare ? RequestClass.MIDDLE : RequestClass.HEAVY;
    }

    double meanMillis(RequestClass requestClass) {
      return switch (requestClass) {
        case QUICK -> quickMillis;
        case MIDDLE -> middleMillis;
        case HEAVY -> heavyMillis;
      };
    }

    double meanMillis() {
      return quickShare * quickMillis
          + middleShare * middleMillis
          + (1 - quickShare - middleShare) * heavyMillis;
    }
  }
}
