/** Encoding of the records of the cell's stream and of its snapshots. */
package org.vanillacove.protocol.record;
