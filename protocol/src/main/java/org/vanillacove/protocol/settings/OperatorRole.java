package org.vanillacove.protocol.settings;

/** What a token allows. */
public enum OperatorRole {
  /** Reads only. */
  VIEWER,

  /** Reads and changes. */
  OPERATOR
}
