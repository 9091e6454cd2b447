package org.vanillacove.bench.waiting;

import org.vanillacove.coordination.routing.RequestClass;

/**
 * Request of the simulated workload.
 *
 * @param number index of the request in the workload
 * @param atMillis arrival time in milliseconds
 * @param host index of the entry host that receives it
 * @param guest name of the guest that sends it
 * @param requestClass class that determines its service time and its queueing slack
 * @param serviceMillis service time on a backend server of normal speed, in milliseconds
 * @param idempotent whether it may be executed more than once
 */
record Arrival(
    int number,
    long atMillis,
    int host,
    String guest,
    RequestClass requestClass,
    long serviceMillis,
    boolean idempotent) {}
