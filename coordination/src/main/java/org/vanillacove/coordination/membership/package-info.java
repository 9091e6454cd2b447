/** Heartbeats between entry hosts, the agreed membership, and the standing of this host. */
package org.vanillacove.coordination.membership;
