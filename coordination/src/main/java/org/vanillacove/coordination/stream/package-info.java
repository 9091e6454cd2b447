/** The record stream: its tail, the folded state, proposals in batches, snapshots. */
package org.vanillacove.coordination.stream;
