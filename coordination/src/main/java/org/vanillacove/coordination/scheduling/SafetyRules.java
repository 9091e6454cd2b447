package org.vanillacove.coordination.scheduling;

/**
 * Rules that prevent a task from running twice. Tests and benchmarks disable single rules to show
 * that each of them is needed.
 *
 * @param fencing whether a pending task waits until each worker that could run it is fenced or its
 *     leases have certainly expired
 * @param waitForLeaseExpiry whether tasks of an unresponsive worker are ended only once their
 *     leases have certainly expired
 * @param writeAhead whether the start of a task that may run at most once is recorded before the
 *     command is sent
 */
public record SafetyRules(boolean fencing, boolean waitForLeaseExpiry, boolean writeAhead) {
  /** All rules enabled, as in production. */
  public static final SafetyRules ALL = new SafetyRules(true, true, true);
}
