package org.vanillacove.protocol.settings;

/** Role that a token grants to an operator. */
public enum OperatorRole {
  /** May only read. */
  VIEWER,

  /** May read and make changes. */
  OPERATOR
}
