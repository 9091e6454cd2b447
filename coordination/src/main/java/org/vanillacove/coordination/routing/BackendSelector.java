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

/** Selects the backend server with the shortest expected response time. */
final class BackendSelector {
  /** Assumed round-trip time to another availability zone of the region, in milliseconds. */
  private static final double CROSS_ZONE_MILLIS = 1;

  /** Assumed round-trip time to another region, in milliseconds. */
  private static final double CROSS_REGION_MILLIS = 60;

  /**
   * Maximum round-trip time to another region, as a share of the mean service time, at which a
   * request may go there without waiting first.
   */
  private static final double MAX_CROSS_REGION_LATENCY_SHARE = 0.1;

  /** Maximum percentage of ejected backend servers; with more, health is ignored. */
  private static final long MAX_EJECTED_PERCENT = 50;

  /** Time for which a health snapshot is reused, in milliseconds. */
  private static final long SNAPSHOT_VALID_MILLIS = 20;

  /** Backend servers to select from. */
  private final BackendDirectory directory;

  /** Availability zone of this host. */
  private final AvailabilityZone zone;

  /** Observed service times by request class. */
  private final ServiceTimes times;

  /** Supplies the wait in milliseconds after which any request may go to another region. */
  private final LongSupplier crossRegionWaitMillis;

  /** Health by identifier of the backend server. */
  private final Map<String, BackendHealth> health = new ConcurrentHashMap<>();

  /** Newest health snapshot, replaced once it is no longer valid. */
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
   * Aggregated health of all backend servers.
   *
   * @param medianSlowness median slowness of the observed backend servers, one if there are none
   * @param tooManyEjected whether so many are ejected that health is ignored
   * @param validUntilMillis monotonic time until which the snapshot is reused
   */
  private record HealthSnapshot(
      double medianSlowness, boolean tooManyEjected, long validUntilMillis) {}

  BackendHealth health(String backendId) {
    return health.computeIfAbsent(backendId, id -> new BackendHealth());
  }

  /**
   * Returns the slowness of a backend server divided by the median of the observed ones. If all of
   * them are slower than expected, then the expected service time is wrong and none counts as slow.
   */
  double slowness(String backendId, long nowMillis) {
    return health(backendId).slowness(nowMillis) / snapshot(nowMillis).medianSlowness();
  }

  /** Returns whether the health of a backend server allows one more request. */
  boolean allows(String backendId, long nowMillis) {
    return health(backendId).allows(nowMillis, slowness(backendId, nowMillis));
  }

  /**
   * Returns the backend server with the shortest expected response time among those with a free
   * slot, or empty if waiting for a faster one is expected to be quicker.
   *
   * @param free returns the number of free slots of a backend server
   * @param waitMillis expected wait until a slot of a backend server of normal speed is free, or
   *     the time waited so far if that is longer
   */
  Optional<ListedHost> select(
      RoutedRequest request, ToIntFunction<String> free, double waitMillis, long nowMillis) {
    HealthSnapshot current = snapshot(nowMillis);
    double meanServiceMillis = times.mean(request.requestClass());
    ListedHost best = null;
    double bestCost = Double.MAX_VALUE;
    for (ListedHost backend : directory.listed()) {
      int slots = backend.leaving() ? 0 : free.applyAsInt(backend.id());
      if (slots <= 0) {
        continue;
      }
      BackendHealth seen = health(backend.id());
      double slowness = seen.slowness(nowMillis) / current.medianSlowness();
      if (!current.tooManyEjected() && !seen.allows(nowMillis, slowness)) {
        continue;
      }
      double cost = meanServiceMillis * slowness + latencyMillis(backend) - 0.05 * slots;
      cost += request.avoided().contains(backend.id()) ? 10 * meanServiceMillis : 0;
      if (cost < bestCost) {
        bestCost = cost;
        best = backend;
      }
    }
    boolean worthwhile = best != null && isWorthwhile(request, best, waitMillis, nowMillis);
    return worthwhile ? Optional.of(best) : Optional.empty();
  }

  /**
   * Returns whether a request may run in another region: immediately if the round-trip time is
   * short compared with the service time, otherwise after a wait.
   */
  boolean mayCrossRegions(RoutedRequest request, double waitMillis) {
    return CROSS_REGION_MILLIS
            <= MAX_CROSS_REGION_LATENCY_SHARE * times.mean(request.requestClass())
        || waitMillis >= crossRegionWaitMillis.getAsLong();
  }

  /**
   * Returns whether a slot of a backend server may be lent for a request that waited. It may not if
   * the borrower excluded the server, or if the server is so slow that further waiting is better.
   */
  boolean isLendable(String backendId, Set<String> unwanted, double waitedMillis, long nowMillis) {
    Optional<ListedHost> backend = directory.find(backendId);
    if (backend.isEmpty() || backend.get().leaving() || unwanted.contains(backendId)) {
      return false;
    }
    double extraMillis = times.overallMean() * (slowness(backendId, nowMillis) - 1);
    return allows(backendId, nowMillis) && extraMillis <= times.overallMean() + waitedMillis;
  }

  /**
   * Returns the number of backend servers of a region that are neither leaving nor ejected, at
   * least one.
   */
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
    double extraMillis =
        times.mean(request.requestClass()) * (slowness(backend.id(), nowMillis) - 1);
    return extraMillis <= waitMillis + times.mean(request.requestClass())
        && (isInOwnRegion(backend) || mayCrossRegions(request, waitMillis));
  }

  private HealthSnapshot snapshot(long nowMillis) {
    HealthSnapshot cached = cachedSnapshot;
    if (nowMillis < cached.validUntilMillis()) {
      return cached;
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
