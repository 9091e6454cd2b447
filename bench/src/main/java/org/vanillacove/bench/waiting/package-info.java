/** Waiting time of guests' requests under routing policies, on the same seeded arrivals. */
package org.vanillacove.bench.waiting;
