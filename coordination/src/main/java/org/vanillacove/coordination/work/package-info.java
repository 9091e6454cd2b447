/**
 * Scheduling of jobs by the one host that leads: acceptance, placement, runs, ends.
 *
 * <p>All classes here run on one scheduling thread. The store, the workers and the adviser are
 * reached through the interfaces in {@code api}.
 */
package org.vanillacove.coordination.work;
