/**
 * Jobs of several steps and the pure decisions on them: order of service, placement, admission.
 * Nothing here reads a clock or does input or output.
 */
package org.vanillacove.state.work;
