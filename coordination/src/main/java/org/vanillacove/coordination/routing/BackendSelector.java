package org.vanillacove.coordination.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.state.api.AvailabilityZone;

/** Chooses among backend servers by expected time until the answer. */
final class BackendSelector {
  /** Round trip to another zone of the region, in milliseconds. */
  private static final double CROSS_ZONE_MILLIS = 1;

  /** Round trip to another region, in milliseconds. */
  private static final double CROSS_REGION_MILLIS = 60;

  /** Share of the mean service time that the way to another region may add without a wait. */
  private static final double MAX_CROSS_REGION_LATENCY_SHARE = 0.1;

  /** Largest share of backend servers that may be left out, in percent. */
  private static final long MAX_EJECTED_PERCENT = 50;

  /** Time for which a look at all backend servers is kept, in milliseconds. */
  private static final long SNAPSHOT_VALID_MILLIS = 20;

  /** Backend servers. */
  private final BackendDirectory directory;

  /** Zone of this host. */
  private final AvailabilityZone zone;

  /** Service times of the classes. */
  private final ServiceTimes times;

  /** Wait in milliseconds after which any request may cross regions. */
  private final LongSupplier crossRegionWaitMillis;

  /** Health by backend server. */
  private final Map<String, BackendHealth> health = new ConcurrentHashMap<>();

  /** Newest look at all backend servers. */
  private volatile HealthSnapshot cachedSnapshot = new HealthSnapshot(1, false, Long.MIN_VALUE);

  BackendSelector(
      BackendDirectory directory,
      AvailabilityZone zone,
      ServiceTimes times,
      LongSupplier crossAfterMillis) {
    this.directory = directory;
    this.zone = zone;
    this.times = times;
    this.crossRegionWaitMillis = crossAfterMillis;
  }

  /**
   * A look at all backend servers.
   *
   * @param medianSlowness slowness of the median backend server, relative to the mean of the class
   * @param tooManyEjected whether so many are left out that health is ignored
   * @param validUntilMillis monotonic time until which the look is kept
   */
  private record HealthSnapshot(
      double medianSlowness, boolean tooManyEjected, long validUntilMillis) {}

  BackendHealth health(String backendId) {
    return health.computeIfAbsent(backendId, id -> new BackendHealth());
  }

  /**
   * Returns how slow a backend server is compared with the median of those that answered. All of
   * them being slower than expected says that the expectation is wrong, not that they are slow.
   */
  double slowness(String backendId, long nowMillis) {
    return health(backendId).slowness(nowMillis) / snapshot(nowMillis).medianSlowness();
  }

  /** Returns whether one more request may be sent to a backend server. */
  boolean allows(String backendId, long nowMillis) {
    return health(backendId).allows(nowMillis, slowness(backendId, nowMillis));
  }

  /**
   * Returns the backend server with the least expected time among those with a free slot, if
   * waiting for a better one would not be quicker.
   *
   * @param free number of slots that can be taken, by backend server
   * @param waitMillis expected wait until a slot of a usual backend server is free, or the time
   *     waited so far if that is longer
   */
  Optional<ListedHost> select(
      RoutedRequest request, ToIntFunction<String> free, double waitMillis, long nowMillis) {
    HealthSnapshot look = snapshot(nowMillis);
    double usual = times.mean(request.requestClass());
    ListedHost best = null;
    double bestCost = Double.MAX_VALUE;
    for (ListedHost backend : directory.listed()) {
      int slots = backend.leaving() ? 0 : free.applyAsInt(backend.id());
      if (slots <= 0) {
        continue;
      }
      BackendHealth seen = health(backend.id());
      double slowness = seen.slowness(nowMillis) / look.medianSlowness();
      if (!look.tooManyEjected() && !seen.allows(nowMillis, slowness)) {
        continue;
      }
      double cost = usual * slowness + latencyMillis(backend) - 0.05 * slots;
      cost += request.avoided().contains(backend.id()) ? 10 * usual : 0;
      if (cost < bestCost) {
        bestCost = cost;
        best = backend;
      }
    }
    boolean worth = best != null && isWorthwhile(request, best, waitMillis, nowMillis);
    return worth ? Optional.of(best) : Optional.empty();
  }

  /**
   * Returns whether a request may run in another region: at once if the way there is short beside
   * its service, else after a wait.
   */
  boolean mayCrossRegions(RoutedRequest request, double waitMillis) {
    return CROSS_REGION_MILLIS
            <= MAX_CROSS_REGION_LATENCY_SHARE * times.mean(request.requestClass())
        || waitMillis >= crossRegionWaitMillis.getAsLong();
  }

  /** Returns whether a slot of a backend server is worth lending for a request that waited. */
  boolean isLendable(String backendId, Set<String> unwanted, double waitedMillis, long nowMillis) {
    Optional<ListedHost> backend = directory.find(backendId);
    if (backend.isEmpty() || backend.get().leaving() || unwanted.contains(backendId)) {
      return false;
    }
    double extra = times.overallMean() * (slowness(backendId, nowMillis) - 1);
    return allows(backendId, nowMillis) && extra <= times.overallMean() + waitedMillis;
  }

  /** Returns how many backend servers of a region can serve, at least one. */
  long countUsable(String region, long nowMillis) {
    long usable =
        directory.listed().stream()
            .filter(backend -> !backend.leaving() && backend.zone().region().equals(region))
            .filter(backend -> !health(backend.id()).isEjected(nowMillis))
            .count();
    return Math.max(1, usable);
  }

  private boolean isWorthwhile(
      RoutedRequest request, ListedHost backend, double waitMillis, long nowMillis) {
    double extra = times.mean(request.requestClass()) * (slowness(backend.id(), nowMillis) - 1);
    return extra <= waitMillis + times.mean(request.requestClass())
        && (isInOwnRegion(backend) || mayCrossRegions(request, waitMillis));
  }

  private HealthSnapshot snapshot(long nowMillis) {
    HealthSnapshot kept = cachedSnapshot;
    if (nowMillis < kept.validUntilMillis()) {
      return kept;
    }
    List<BackendHealth> all =
        directory.listed().stream().map(backend -> health(backend.id())).toList();
    double[] seen =
        all.stream()
            .filter(BackendHealth::isObserved)
            .mapToDouble(each -> each.slowness(nowMillis))
            .sorted()
            .toArray();
    long ejected = all.stream().filter(each -> each.isEjected(nowMillis)).count();
    HealthSnapshot fresh =
        new HealthSnapshot(
            seen.length == 0 ? 1 : seen[(seen.length - 1) / 2],
            ejected * 100 > all.size() * MAX_EJECTED_PERCENT,
            nowMillis + SNAPSHOT_VALID_MILLIS);
    cachedSnapshot = fresh;
    return fresh;
  }

  private boolean isInOwnRegion(ListedHost backend) {
    return backend.zone().region().equals(zone.region());
  }

  private double latencyMillis(ListedHost backend) {
    if (!isInOwnRegion(backend)) {
      return CROSS_REGION_MILLIS;
    }
    return backend.zone().name().equals(zone.name()) ? 0 : CROSS_ZONE_MILLIS;
  }
}
