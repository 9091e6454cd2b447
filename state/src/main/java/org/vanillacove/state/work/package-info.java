/**
 * Specifications of multi-step jobs and the policies for their service order, placement and
 * admission. All policies are pure functions without clocks or I/O.
 */
package org.vanillacove.state.work;
