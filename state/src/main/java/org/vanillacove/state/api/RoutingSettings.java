package org.vanillacove.state.api;

/**
 * Policy settings of request routing.
 *
 * @param slotsPerBackend maximum number of requests that a backend server runs concurrently
 * @param connectionsPerBackend maximum number of connections to a backend server
 * @param queueLimit maximum number of requests queued on an entry host
 * @param defaultDeadlineMillis deadline in milliseconds of a request that sets none
 * @param retryBudgetPercent retries allowed per hundred requests
 * @param crossRegionPenaltyMillis waiting time in milliseconds that a request must save by being
 *     sent to another region
 * @param slotLeaseMillis length of a slot lease in milliseconds
 */
public record RoutingSettings(
    int slotsPerBackend,
    int connectionsPerBackend,
    int queueLimit,
    long defaultDeadlineMillis,
    int retryBudgetPercent,
    long crossRegionPenaltyMillis,
    long slotLeaseMillis) {
  /** Settings in force until the first configuration is applied. */
  public static final RoutingSettings DEFAULTS =
      new RoutingSettings(8, 64, 2_000, 30_000, 10, 150, 3_000);
}
