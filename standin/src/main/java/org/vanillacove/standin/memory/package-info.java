/** In-memory timers, log, workers and peer links in which tests can inject faults. */
package org.vanillacove.standin.memory;
