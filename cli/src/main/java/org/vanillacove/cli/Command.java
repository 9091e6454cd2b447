package org.vanillacove.cli;

import org.kohsuke.args4j.Option;

/** A command with its options and arguments as annotated fields. */
abstract class Command {
  /** Whether only help is asked for. */
  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  /** Runs the command and returns its exit code. */
  abstract int run(CommandContext context);

  /** Returns whether only help is asked for. */
  final boolean isHelp() {
    return help;
  }
}
