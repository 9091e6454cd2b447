package org.vanillacove.state.placement;

import java.util.Optional;
import org.vanillacove.state.api.Resources;

/** Quota of one team, with its current allocation and its average share in the recent past. */
final class TeamShare {
  /** Name of the team as given in job specifications. */
  private final String name;

  /** Quota of the team, empty if it has none and isn't limited. */
  private Optional<Resources> quota = Optional.empty();

  /** Weight of the team in the fair-share order. */
  private double weight = 1;

  /** Resources committed to running tasks or reserved by nominations. */
  private Resources allocated = Resources.NONE;

  /** Part of the allocated resources that belongs to non-preemptible tasks. */
  private Resources nonPreemptibleAllocated = Resources.NONE;

  /** Part of the allocated resources that belongs to urgent tasks. */
  private Resources urgentAllocated = Resources.NONE;

  /** Dominant share, averaged over the past with an exponential half-life. */
  private double averageShare;

  /** Time up to which the average share is computed, in milliseconds. */
  private long averagedUntilMillis;

  TeamShare(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  Optional<Resources> quota() {
    return quota;
  }

  Resources allocated() {
    return allocated;
  }

  Resources nonPreemptibleAllocated() {
    return nonPreemptibleAllocated;
  }

  double weight() {
    return weight;
  }

  void setQuota(Optional<Resources> quota, double weight) {
    this.quota = quota;
    this.weight = weight;
  }

  void allocate(Resources size, boolean nonPreemptible, boolean urgent) {
    allocated = allocated.plus(size);
    if (urgent) {
      urgentAllocated = urgentAllocated.plus(size);
    }
    if (nonPreemptible) {
      nonPreemptibleAllocated = nonPreemptibleAllocated.plus(size);
    }
  }

  void deallocate(Resources size, boolean nonPreemptible, boolean urgent) {
    allocated = allocated.minus(size);
    if (urgent) {
      urgentAllocated = urgentAllocated.minus(size);
    }
    if (nonPreemptible) {
      nonPreemptibleAllocated = nonPreemptibleAllocated.minus(size);
    }
  }

  /** Returns whether the team stays within its quota with a further allocation. */
  boolean isWithinQuota(Resources size) {
    return quota.isEmpty() || allocated.plus(size).fitsIn(quota.get());
  }

  /** Returns whether non-preemptible tasks stay within the quota with a further allocation. */
  boolean isNonPreemptibleWithinQuota(Resources size) {
    return quota.isEmpty() || nonPreemptibleAllocated.plus(size).fitsIn(quota.get());
  }

  /** Returns whether urgent tasks stay within the quota with a further allocation. */
  boolean isUrgentWithinQuota(Resources size) {
    return quota.isEmpty() || urgentAllocated.plus(size).fitsIn(quota.get());
  }

  /** Returns whether the team has more allocated than its quota. */
  boolean isBorrowing() {
    return quota.isPresent() && !allocated.fitsIn(quota.get());
  }

  /** Includes the time since the last update, with the current share, in the average. */
  void updateAverageShare(long nowMillis, long halfLifeMillis, Resources capacity) {
    long elapsed = nowMillis - averagedUntilMillis;
    if (elapsed > 0) {
      double keep = Math.pow(0.5, elapsed / (double) halfLifeMillis);
      averageShare = averageShare * keep + share(capacity) * (1 - keep);
      averagedUntilMillis = nowMillis;
    }
  }

  /** Returns the current plus average share divided by the weight; the lowest is served first. */
  double weightedShare(Resources capacity) {
    return (share(capacity) + averageShare) / weight;
  }

  /** Returns the dominant share of the current allocation. */
  double share(Resources capacity) {
    return dominantShare(allocated, capacity);
  }

  /** Returns the largest share of a capacity over all dimensions. */
  static double dominantShare(Resources size, Resources capacity) {
    double cpu = size.cpuMillis() / (double) Math.max(1, capacity.cpuMillis());
    double memory = size.memoryMib() / (double) Math.max(1, capacity.memoryMib());
    double accelerators = size.accelerators() / (double) Math.max(1, capacity.accelerators());
    return Math.max(cpu, Math.max(memory, accelerators));
  }
}
