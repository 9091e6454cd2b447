package org.vanillacove.cli;

import org.kohsuke.args4j.Option;

/** Base class of commands, whose annotated fields hold options and arguments. */
abstract class Command {
  /** Whether to print help instead of running the command. */
  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  /** Runs the command and returns its exit code. */
  abstract int run(CommandContext context);

  /** Returns whether to print help instead of running the command. */
  final boolean isHelp() {
    return help;
  }
}
