/**
 * Scheduling of jobs on the leading host: acceptance, placement, runs and outcomes.
 *
 * <p>All classes here run on one scheduling thread. The store, the workers and the adviser are
 * accessed through the interfaces in {@code api}.
 */
package org.vanillacove.coordination.work;
