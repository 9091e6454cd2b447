package org.vanillacove.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * What the command line needs of its surroundings.
 *
 * @param out standard output
 * @param err standard error
 * @param clock wall time
 * @param random random numbers for job identifiers
 * @param directory directory that relative file names start from
 * @param pause waits between two questions
 */
record CliEnvironment(
    PrintStream out,
    PrintStream err,
    InstantSource clock,
    RandomGenerator random,
    Path directory,
    Pause pause) {
  /** Waits between two questions. */
  @FunctionalInterface
  interface Pause {
    /** Waits for {@code duration}; returns false if the wait was interrupted. */
    boolean await(Duration duration);
  }
}
