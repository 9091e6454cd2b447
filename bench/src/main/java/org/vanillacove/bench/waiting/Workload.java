package org.vanillacove.bench.waiting;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.vanillacove.coordination.routing.RequestClass;

/** Seeded arrivals of a mix of quick, middle and heavy requests. */
final class Workload {
  /** Spread of service times within a class, as sigma of their logarithm. */
  private static final double SIGMA = 0.5;

  /** Number of guests. */
  private static final int GUESTS = 200;

  private Workload() {}

  /**
   * Returns arrivals over a time.
   *
   * @param mix shares of the classes and their mean service times
   * @param slots slots of usual speed that all backend servers amount to
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
      double scale = Math.log(mean) - SIGMA * SIGMA / 2;
      double service = new LogNormalDistribution(random, scale, SIGMA).sample();
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
   * A mix of classes.
   *
   * @param name whose mix it is
   * @param quickShare share of quick requests
   * @param middleShare share of middle requests
   * @param quickMillis mean service time of quick requests
   * @param middleMillis mean service time of middle requests
   * @param heavyMillis mean service time of heavy requests
   * @param zoneMillis one-way delay between zones
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
