/**
 * Estimates learned from the ends of runs: ratios of actual to declared run times and speeds of
 * workers. Bounded in memory, without clocks or I/O; with no observations the estimates equal the
 * declared values.
 */
package org.vanillacove.state.estimate;
