/** One entry host's part in the cell, put together from the parts beside it. */
package org.vanillacove.coordination.cell;
