/**
 * Organisations that share the cell: their keys, the limits of what they may have running, and
 * their shares. All decisions are pure functions without clocks or I/O.
 */
package org.vanillacove.state.tenancy;
