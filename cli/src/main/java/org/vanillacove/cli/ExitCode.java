package org.vanillacove.cli;

/** Exit codes of the command line. */
final class ExitCode {
  /** The command succeeded. */
  static final int SUCCESS = 0;

  /** The cell refused the command, or the job waited for did not succeed. */
  static final int REFUSED = 1;

  /** The arguments or a file are invalid. */
  static final int BAD_INPUT = 2;

  /** The entry host could not be reached or did not answer a query; nothing was changed. */
  static final int UNREACHABLE = 3;

  /** It is unknown whether the command took effect, or a wait ended without a result. */
  static final int UNKNOWN = 4;

  private ExitCode() {}
}
