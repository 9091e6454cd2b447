/** Placement policies: which task starts on which worker, and which tasks are preempted. */
package org.vanillacove.state.placement;
