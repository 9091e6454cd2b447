/** The cell state, which every host computes by applying the same record stream. */
package org.vanillacove.state.cell;
