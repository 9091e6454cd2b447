package org.vanillacove.state.leadership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides how suited hosts are to lead and in which order they succeed a leader. Answers a cell of
 * unlike hosts under full load: a leader calls every worker several times a second and takes all
 * submissions, so the resource of which it has least bounds the cell, be it the processor, the link
 * or the descriptors. A leader on a thin link answers nobody in time, however fast its processor.
 */
public final class LeaderSuitability {
  /** Share of the best host's capacity in any resource below which a host counts as small. */
  private static final double SMALL_SHARE = 0.5;

  /** Share of another host's capacity in any resource below which that host can lead better. */
  private static final double MUCH_LESS_SHARE = 0.67;

  /** Bandwidth in Mbit/s above which more does not help a leader. */
  private static final double SUFFICIENT_LINK_MBPS = 100;

  /** Memory in MB above which more does not help a leader: its heap, code and buffers. */
  private static final double SUFFICIENT_MEMORY_MB = 256;

  /** Descriptors above which more do not help a leader: its connections to a large cell. */
  private static final double SUFFICIENT_DESCRIPTORS = 2_000;

  /** Lag of the event loop from which on a host counts as busy, in milliseconds. */
  private static final long MIN_BUSY_LAG_MILLIS = 300;

  /** Maximum time for which a host far from the store waits before it claims, in milliseconds. */
  private static final long MAX_FAR_CLAIM_DELAY_MILLIS = 400;

  /** Round trips to the store by which a claim is delayed, so that near hosts claim first. */
  private static final int CLAIM_DELAY_ROUND_TRIPS = 4;

  /** Time by which a small host claims later, so that a larger one near the store leads. */
  private static final long SMALL_HOST_CLAIM_DELAY_MILLIS = 300;

  /** Maximum time by which a host with a lagging event loop claims later, in milliseconds. */
  private static final long MAX_LAG_CLAIM_DELAY_MILLIS = 400;

  /** Prefers standby hosts that are not busy; the youngest replica decides among them. */
  private static final Comparator<LeaderCandidate> WITHIN_TIER =
      Comparator.comparing(LeaderSuitability::isBusy)
          .thenComparing(Comparator.comparing(LeaderCandidate::isStandby).reversed())
          // In a rolling restart the host that started last is the least likely to stop soon.
          .thenComparingLong(LeaderCandidate::replicaAgeMillis)
          .thenComparing(LeaderCandidate::host);

  private LeaderSuitability() {}

  /** Returns the capacity of the host that is suited best, empty if there is no host. */
  public static Optional<HostCapacity> best(Collection<HostCapacity> hosts) {
    Optional<HostCapacity> largest = hosts.stream().reduce(HostCapacity::max);
    return hosts.stream()
        .max(
            Comparator.comparingDouble((HostCapacity each) -> share(each, largest.orElseThrow()))
                .thenComparingDouble(HostCapacity::cores));
  }

  /** Returns whether a host has much less of any resource than the best one. */
  public static boolean isSmall(HostCapacity host, HostCapacity best) {
    return share(host, best) < SMALL_SHARE;
  }

  /** Returns the time by which a host delays its claim, so that better suited ones lead. */
  public static long claimDelayMillis(long roundTripMillis, boolean small, long lagMillis) {
    long far = Math.min(MAX_FAR_CLAIM_DELAY_MILLIS, roundTripMillis * CLAIM_DELAY_ROUND_TRIPS);
    long busy =
        lagMillis < MIN_BUSY_LAG_MILLIS ? 0 : Math.min(MAX_LAG_CLAIM_DELAY_MILLIS, lagMillis);
    return far + (small ? SMALL_HOST_CLAIM_DELAY_MILLIS : 0) + busy;
  }

  /**
   * Returns the candidates in the order in which they should lead: large hosts near the store, then
   * large ones far from it, whose appends take longer, then small ones.
   */
  public static List<LeaderCandidate> successionOrder(
      Collection<LeaderCandidate> candidates, HostCapacity best) {
    return candidates.stream()
        .sorted(
            Comparator.comparingInt((LeaderCandidate each) -> tier(each, best))
                .thenComparing(WITHIN_TIER))
        .toList();
  }

  /** Returns whether a leader is small or far from the store, so that it should not stay. */
  public static boolean isUnsuited(LeaderCandidate leader, HostCapacity best) {
    return tier(leader, best) > 0;
  }

  /**
   * Returns whether leadership should go from {@code leader} to {@code candidate}: a host of a
   * better kind, or, while the leader is overloaded, one that has clearly more of some resource and
   * less of none. Equal hosts don't replace one another, since the next one would be overloaded as
   * well.
   */
  public static boolean isBetter(
      LeaderCandidate candidate, LeaderCandidate leader, HostCapacity best, boolean overloaded) {
    int kind = tier(candidate, best);
    if (isBusy(candidate) || (kind == 0 && !candidate.isStandby())) {
      return false;
    }
    int present = tier(leader, best);
    return kind < present
        || (overloaded
            && kind == present
            && share(leader.capacity(), candidate.capacity()) < MUCH_LESS_SHARE
            && share(candidate.capacity(), leader.capacity()) >= 1);
  }

  private static int tier(LeaderCandidate candidate, HostCapacity best) {
    return (isSmall(candidate.capacity(), best) ? 2 : 0) + (candidate.isNearStore() ? 0 : 1);
  }

  private static boolean isBusy(LeaderCandidate candidate) {
    return candidate.lagMillis() >= MIN_BUSY_LAG_MILLIS;
  }

  /** Returns the share of the other's capacity in the resource of which the host has least. */
  private static double share(HostCapacity host, HostCapacity other) {
    double processor = other.cores() <= 0 ? 1 : host.cores() / other.cores();
    double link = share(host.linkMbps(), other.linkMbps(), SUFFICIENT_LINK_MBPS);
    double memory = share(host.memoryMb(), other.memoryMb(), SUFFICIENT_MEMORY_MB);
    double descriptors = share(host.descriptors(), other.descriptors(), SUFFICIENT_DESCRIPTORS);
    return Math.min(Math.min(processor, link), Math.min(memory, descriptors));
  }

  private static double share(double amount, double other, double sufficient) {
    return Math.min(amount, sufficient) / Math.min(other, sufficient);
  }
}
