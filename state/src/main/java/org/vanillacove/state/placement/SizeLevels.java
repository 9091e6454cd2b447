package org.vanillacove.state.placement;

/** Maps amounts to logarithmic levels, four for each doubling. */
final class SizeLevels {
  /** Number of levels in each dimension; larger amounts share the last level. */
  static final int LEVELS = 64;

  /** Processor unit, the width of the lowest levels, in thousandths of a core. */
  private static final long CPU_UNIT_MILLIS = 16;

  /** Memory unit, the width of the lowest levels, in mebibytes. */
  private static final long MEMORY_UNIT_MIB = 32;

  /** Time unit, the width of the lowest levels, in milliseconds. */
  private static final long TIME_UNIT_MILLIS = 1_000;

  private SizeLevels() {}

  static int cpu(long cpuMillis) {
    return level(cpuMillis / CPU_UNIT_MILLIS);
  }

  static int memory(long memoryMib) {
    return level(memoryMib / MEMORY_UNIT_MIB);
  }

  static int time(long millis) {
    return level(millis / TIME_UNIT_MILLIS);
  }

  private static int level(long units) {
    if (units < 4) {
      return (int) Math.max(0, units);
    }
    int exponent = Long.SIZE - 1 - Long.numberOfLeadingZeros(units);
    int step = (int) ((units >>> (exponent - 2)) & 3);
    return Math.min(LEVELS - 1, 4 * (exponent - 1) + step);
  }
}
