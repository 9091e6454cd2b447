/**
 * Record stream: following the log, the cell state built from it, batched appends and snapshots.
 */
package org.vanillacove.coordination.stream;
