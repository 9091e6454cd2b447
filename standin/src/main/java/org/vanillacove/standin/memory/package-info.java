/** In-memory stand-ins for time, log, workers and peer link, with faults that tests cause. */
package org.vanillacove.standin.memory;
