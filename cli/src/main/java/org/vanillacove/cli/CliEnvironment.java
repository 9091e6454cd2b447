package org.vanillacove.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * Access of the command line to its environment, replaced in tests.
 *
 * @param out standard output
 * @param err standard error
 * @param clock wall clock
 * @param random random numbers for job identifiers
 * @param directory directory that relative file names are resolved against
 * @param pause waits between two polls
 */
record CliEnvironment(
    PrintStream out,
    PrintStream err,
    InstantSource clock,
    RandomGenerator random,
    Path directory,
    Pause pause) {
  /** Waits between two polls. */
  @FunctionalInterface
  interface Pause {
    /** Waits for {@code duration}; returns false if the wait was interrupted. */
    boolean await(Duration duration);
  }
}
