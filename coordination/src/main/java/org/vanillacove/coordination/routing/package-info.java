/**
 * Routing of guests' requests: which backend server runs a request and when it is queued, rejected
 * or retried. Contains no network code; messages go through {@link
 * org.vanillacove.protocol.peer.PeerLink}.
 */
package org.vanillacove.coordination.routing;
