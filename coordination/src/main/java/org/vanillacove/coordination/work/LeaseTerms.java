package org.vanillacove.coordination.work;

/**
 * Durations of worker leases.
 *
 * @param lengthMillis length of the leases that are requested, in milliseconds
 * @param maxMillis longest lease that a worker grants, in milliseconds
 */
public record LeaseTerms(long lengthMillis, long maxMillis) {}
