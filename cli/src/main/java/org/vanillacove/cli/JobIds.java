package org.vanillacove.cli;

import java.time.InstantSource;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** Makes identifiers of jobs that sort by time. */
final class JobIds {
  private JobIds() {}

  /** Returns a new identifier. */
  static String next(InstantSource clock, RandomGenerator random) {
    return String.format(
        Locale.ROOT, "j%011x-%08x", clock.millis(), random.nextLong() & 0xffffffffL);
  }
}
