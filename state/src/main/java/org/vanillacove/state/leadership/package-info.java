/**
 * Decisions on which host leads: how suited each host is, in which order hosts succeed a leader,
 * and when a leader can't keep up. All decisions are pure and receive their times from the caller.
 */
package org.vanillacove.state.leadership;
