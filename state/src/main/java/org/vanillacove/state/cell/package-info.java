/** The cell state and the fold that every host applies to the record stream alike. */
package org.vanillacove.state.cell;
