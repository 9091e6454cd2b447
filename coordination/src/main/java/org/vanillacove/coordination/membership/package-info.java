/** Heartbeats between entry hosts, the agreed membership, and the lease of this host. */
package org.vanillacove.coordination.membership;
