package org.vanillacove.cli;

import java.time.InstantSource;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** Generates job identifiers that sort by creation time. */
final class JobIds {
  private JobIds() {}

  /** Returns an identifier made of the current time and a random number. */
  static String next(InstantSource clock, RandomGenerator random) {
    return String.format(
        Locale.ROOT, "j%011x-%08x", clock.millis(), random.nextLong() & 0xffffffffL);
  }
}
