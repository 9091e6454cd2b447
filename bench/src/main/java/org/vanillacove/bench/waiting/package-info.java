/** Compares the waiting time of guests' requests under routing policies on equal arrivals. */
package org.vanillacove.bench.waiting;
