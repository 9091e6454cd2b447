package org.vanillacove.state.api;

/** Whether a start is recorded before or after the start command is sent. */
public enum StartMode {
  /** The record was durable before the command was sent. */
  WRITE_AHEAD,

  /** The command was sent first and the record was appended afterwards. */
  WRITE_BEHIND
}
