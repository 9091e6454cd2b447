package org.vanillacove.protocol.peer;

/** Channels of the peer link, each with its own payload messages. */
public enum PeerChannel {
  /** Heartbeats and standing. */
  MEMBERSHIP,
  /** Worker sessions between session holders and the leader. */
  SESSION,
  /** Commands from the leader to session holders. */
  COMMAND,
  /** Proposals forwarded to the leader. */
  PROPOSAL,
  /** Slots of backend servers. */
  SLOT,
  /** Idempotency keys. */
  REQUEST_KEY,
  /** Time line events and versions in force, for operators. */
  OPERATOR
}
