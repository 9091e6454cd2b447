/**
 * Worker sessions: which host renews the leases of which worker, and the reports of these hosts to
 * the leader.
 */
package org.vanillacove.coordination.session;
