package org.vanillacove.state.api;

/** Order of the start record and the start command. */
public enum StartMode {
  /** The record was in the log before the command. */
  WRITE_AHEAD,

  /** The command came first, the record followed. */
  WRITE_BEHIND
}
