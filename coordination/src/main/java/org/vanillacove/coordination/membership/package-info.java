/** Heartbeats between entry hosts, the agreed membership, and the host lease. */
package org.vanillacove.coordination.membership;
