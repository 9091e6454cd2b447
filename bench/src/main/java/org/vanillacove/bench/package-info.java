/** Command-line benchmarks of the scheduler, which print their figures as JSON. */
package org.vanillacove.bench;
