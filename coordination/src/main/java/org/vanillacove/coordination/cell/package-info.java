/** Assembly of an entry host's node in the cell: views, changes and configuration updates. */
package org.vanillacove.coordination.cell;
