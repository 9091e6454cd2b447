package org.vanillacove.cli;

/** Exit codes of the command line. */
final class ExitCode {
  /** The command did what it says. */
  static final int SUCCESS = 0;

  /** The cell refused the command, which took no effect. */
  static final int REFUSED = 1;

  /** The command or a file is not well formed, nothing was sent. */
  static final int BAD_INPUT = 2;

  /** No entry host could be reached, nothing was sent. */
  static final int UNREACHABLE = 3;

  /** Whether the command took effect is not known. */
  static final int UNKNOWN = 4;

  private ExitCode() {}
}
