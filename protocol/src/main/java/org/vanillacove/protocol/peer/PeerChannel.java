package org.vanillacove.protocol.peer;

/** Channels of the peer link, each with its own message types. */
public enum PeerChannel {
  /** Heartbeats and renewals of host leases. */
  MEMBERSHIP,
  /** Worker sessions between session holders and the leader. */
  SESSION,
  /** Commands from the leader to session holders. */
  COMMAND,
  /** Proposals forwarded to the leader. */
  PROPOSAL,
  /** Lending of backend server slots. */
  SLOT,
  /** State of idempotency keys. */
  REQUEST_KEY,
  /** Timeline events and configuration versions in force, for operators. */
  OPERATOR
}
