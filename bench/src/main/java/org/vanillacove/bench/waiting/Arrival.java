package org.vanillacove.bench.waiting;

import org.vanillacove.coordination.routing.RequestClass;

/**
 * A request of the workload.
 *
 * @param number position in the workload
 * @param atMillis arrival time in milliseconds
 * @param host entry host it arrives at
 * @param guest its guest
 * @param requestClass its class
 * @param serviceMillis service time on a usual backend server, in milliseconds
 * @param idempotent whether it may run more than once
 */
record Arrival(
    int number,
    long atMillis,
    int host,
    String guest,
    RequestClass requestClass,
    long serviceMillis,
    boolean idempotent) {}
