package org.vanillacove.state.api;

/**
 * Amounts of processor, memory and accelerators, whether requested, used or free.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryMib mebibytes of memory
 * @param accelerators whole accelerator devices
 */
public record Resources(long cpuMillis, long memoryMib, int accelerators) {
  /** Zero of every component. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of this and {@code other}. */
  public Resources plus(Resources other) {
    return new Resources(
        Math.addExact(cpuMillis, other.cpuMillis),
        Math.addExact(memoryMib, other.memoryMib),
        Math.addExact(accelerators, other.accelerators));
  }

  /** Returns the difference of this and {@code other}; a component may become negative. */
  public Resources minus(Resources other) {
    return new Resources(
        Math.subtractExact(cpuMillis, other.cpuMillis),
        Math.subtractExact(memoryMib, other.memoryMib),
        Math.subtractExact(accelerators, other.accelerators));
  }

  /** Returns this multiplied by {@code count}. */
  public Resources times(int count) {
    return new Resources(
        Math.multiplyExact(cpuMillis, (long) count),
        Math.multiplyExact(memoryMib, (long) count),
        Math.multiplyExact(accelerators, count));
  }

  /** Returns the larger one of each component of this and {@code other}. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(cpuMillis, other.cpuMillis),
        Math.max(memoryMib, other.memoryMib),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns whether every component is at most that of {@code capacity}. */
  public boolean fitsIn(Resources capacity) {
    return cpuMillis <= capacity.cpuMillis
        && memoryMib <= capacity.memoryMib
        && accelerators <= capacity.accelerators;
  }

  /** Returns whether a component is below zero. */
  public boolean isNegative() {
    return cpuMillis < 0 || memoryMib < 0 || accelerators < 0;
  }
}
