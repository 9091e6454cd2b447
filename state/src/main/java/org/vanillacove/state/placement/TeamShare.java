package org.vanillacove.state.placement;

import java.util.Optional;
import org.vanillacove.state.api.Resources;

/** What one team holds now, held lately and may hold by right. */
final class TeamShare {
  /** Name of the team. */
  private final String name;

  /** Resources held by right, empty if the team has no quota. */
  private Optional<Resources> quota = Optional.empty();

  /** Weight of the team in the fair share. */
  private double weight = 1;

  /** Resources that its tasks hold. */
  private Resources held = Resources.NONE;

  /** Resources that tasks hold which cannot be stopped for others. */
  private Resources firmlyHeld = Resources.NONE;

  /** Resources that urgent tasks hold or are promised. */
  private Resources urgentlyHeld = Resources.NONE;

  /** Dominant share held, averaged over the past with a half-life. */
  private double pastShare;

  /** Time up to which the past is counted, in milliseconds. */
  private long countedMillis;

  TeamShare(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  Optional<Resources> quota() {
    return quota;
  }

  Resources held() {
    return held;
  }

  Resources firmlyHeld() {
    return firmlyHeld;
  }

  double weight() {
    return weight;
  }

  void setQuota(Optional<Resources> quota, double weight) {
    this.quota = quota;
    this.weight = weight;
  }

  void take(Resources size, boolean firm, boolean urgent) {
    held = held.plus(size);
    if (urgent) {
      urgentlyHeld = urgentlyHeld.plus(size);
    }
    if (firm) {
      firmlyHeld = firmlyHeld.plus(size);
    }
  }

  void giveBack(Resources size, boolean firm, boolean urgent) {
    held = held.minus(size);
    if (urgent) {
      urgentlyHeld = urgentlyHeld.minus(size);
    }
    if (firm) {
      firmlyHeld = firmlyHeld.minus(size);
    }
  }

  /** Returns whether a further task stays within what the team holds by right. */
  boolean isWithin(Resources size) {
    return quota.isEmpty() || held.plus(size).fitsIn(quota.get());
  }

  /** Returns whether a further task that cannot be stopped stays within the quota. */
  boolean isFirmlyWithin(Resources size) {
    return quota.isEmpty() || firmlyHeld.plus(size).fitsIn(quota.get());
  }

  /** Returns whether a further urgent task keeps urgent work within the quota. */
  boolean isUrgentlyWithin(Resources size) {
    return quota.isEmpty() || urgentlyHeld.plus(size).fitsIn(quota.get());
  }

  /** Returns whether the team holds more than by right. */
  boolean isBorrowing() {
    return quota.isPresent() && !held.fitsIn(quota.get());
  }

  /** Counts the share held up to now into the past. */
  void count(long nowMillis, long halfLifeMillis, Resources capacity) {
    long elapsed = nowMillis - countedMillis;
    if (elapsed > 0) {
      double keep = Math.pow(0.5, elapsed / (double) halfLifeMillis);
      pastShare = pastShare * keep + share(capacity) * (1 - keep);
      countedMillis = nowMillis;
    }
  }

  /** Returns the share held now and lately in relation to the weight; the lowest goes first. */
  double ratio(Resources capacity) {
    return (share(capacity) + pastShare) / weight;
  }

  /** Returns the largest share of the capacity held in any dimension. */
  double share(Resources capacity) {
    return dominantShare(held, capacity);
  }

  /** Returns the largest share of a capacity in any dimension. */
  static double dominantShare(Resources size, Resources capacity) {
    double cpu = size.cpuMillis() / (double) Math.max(1, capacity.cpuMillis());
    double memory = size.memoryMib() / (double) Math.max(1, capacity.memoryMib());
    double accelerators = size.accelerators() / (double) Math.max(1, capacity.accelerators());
    return Math.max(cpu, Math.max(memory, accelerators));
  }
}
