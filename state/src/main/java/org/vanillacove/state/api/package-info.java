/** Value types of the cell (jobs, tasks, workers, records) and the placement interface. */
package org.vanillacove.state.api;
