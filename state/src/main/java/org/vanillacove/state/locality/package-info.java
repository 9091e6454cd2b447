/**
 * Decides how long a step waits for a place near its data or its group. All decisions are pure
 * functions without clocks or I/O.
 */
package org.vanillacove.state.locality;
