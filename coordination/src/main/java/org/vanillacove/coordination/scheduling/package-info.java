/**
 * Task scheduling on the leader: takeover of the state, starting and stopping of tasks, and
 * detection of expired leases.
 */
package org.vanillacove.coordination.scheduling;
