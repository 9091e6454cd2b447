package org.vanillacove.coordination.routing;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.AvailabilityZone;

/** Chooses among backend servers by expected time until the answer. */
final class BackendSelector {
  /** Round trip to another zone of the region, in milliseconds. */
  private static final double ZONE_MILLIS = 1;

  /** Round trip to another region, in milliseconds. */
  private static final double REGION_MILLIS = 60;

  /** Largest share of backend servers that may be left out, in percent. */
  private static final int MAX_EJECTED_PERCENT = 50;

  /** Backend servers. */
  private final BackendDirectory directory;

  /** Zone of this host. */
  private final AvailabilityZone zone;

  /** Service times of the classes. */
  private final ServiceTimes times;

  /** Health by backend server. */
  private final Map<String, BackendHealth> health = new ConcurrentHashMap<>();

  BackendSelector(BackendDirectory directory, AvailabilityZone zone, ServiceTimes times) {
    this.directory = directory;
    this.zone = zone;
    this.times = times;
  }

  BackendHealth health(String backendId) {
    return health.computeIfAbsent(backendId, id -> new BackendHealth());
  }

  /**
   * Returns the backend server with the least expected time among those with a free slot, if
   * waiting for a better one would not be quicker.
   *
   * @param free number of slots that can be taken, by backend server
   * @param waitMillis expected wait until a slot of a usual backend server is free
   */
  Optional<ListedHost> select(
      RoutedRequest request, ToIntFunction<String> free, double waitMillis, long nowMillis) {
    boolean ignoreHealth = tooManyEjected(nowMillis);
    double usual = times.mean(request.requestClass());
    ListedHost best = null;
    double bestCost = Double.MAX_VALUE;
    for (ListedHost backend : directory.listed()) {
      int slots = backend.leaving() ? 0 : free.applyAsInt(backend.id());
      BackendHealth seen = health(backend.id());
      if (slots <= 0 || !(ignoreHealth || seen.allows(nowMillis))) {
        continue;
      }
      double cost = usual * seen.slowness(nowMillis) + distanceMillis(backend) - 0.05 * slots;
      cost += request.avoided().contains(backend.id()) ? 10 * usual : 0;
      if (cost < bestCost) {
        bestCost = cost;
        best = backend;
      }
    }
    boolean worth = best != null && isWorthwhile(request, best, waitMillis, nowMillis);
    return worth ? Optional.of(best) : Optional.empty();
  }

  /** Returns whether a slot of a backend server is worth lending for a request that waited. */
  boolean isLendable(String backendId, Set<String> unwanted, double waitedMillis, long nowMillis) {
    Optional<ListedHost> backend = directory.find(backendId);
    if (backend.isEmpty() || backend.get().leaving() || unwanted.contains(backendId)) {
      return false;
    }
    BackendHealth seen = health(backendId);
    return seen.allows(nowMillis)
        && times.mixMean() * (seen.slowness(nowMillis) - 1) <= times.mixMean() + waitedMillis;
  }

  /** Returns how many backend servers of a region can serve, at least one. */
  long usableIn(String region, long nowMillis) {
    long usable =
        directory.listed().stream()
            .filter(backend -> !backend.leaving() && backend.zone().region().equals(region))
            .filter(backend -> !health(backend.id()).isEjected(nowMillis))
            .count();
    return Math.max(1, usable);
  }

  private boolean isWorthwhile(
      RoutedRequest request, ListedHost backend, double waitMillis, long nowMillis) {
    double extra =
        times.mean(request.requestClass()) * (health(backend.id()).slowness(nowMillis) - 1);
    return extra <= waitMillis + times.mean(request.requestClass());
  }

  private double distanceMillis(ListedHost backend) {
    if (!backend.zone().region().equals(zone.region())) {
      return REGION_MILLIS;
    }
    return backend.zone().name().equals(zone.name()) ? 0 : ZONE_MILLIS;
  }

  private boolean tooManyEjected(long nowMillis) {
    int all = 0;
    int ejected = 0;
    for (ListedHost backend : directory.listed()) {
      all++;
      ejected += health(backend.id()).isEjected(nowMillis) ? 1 : 0;
    }
    return ejected * 100 > all * MAX_EJECTED_PERCENT;
  }
}
