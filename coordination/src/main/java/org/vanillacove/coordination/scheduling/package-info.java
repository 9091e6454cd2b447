/** The leader's work: takeover, starts, ends, and certainty that leases have lapsed. */
package org.vanillacove.coordination.scheduling;
