/** Placement policies: which task starts on which worker, and which has to make room. */
package org.vanillacove.state.placement;
