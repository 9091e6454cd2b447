/** The records of the cell's stream and its snapshots as bytes. */
package org.vanillacove.protocol.record;
