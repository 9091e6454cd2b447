package org.vanillacove.state.api;

/**
 * Policy values of request routing.
 *
 * @param slotsPerBackend requests a backend server runs at once
 * @param connectionsPerBackend connections a backend server takes
 * @param queueLimit requests an entry host holds waiting
 * @param defaultDeadlineMillis deadline of a request that names none, in milliseconds
 * @param retryBudgetPercent retries allowed for each hundred requests
 * @param crossRegionPenaltyMillis wait that must be saved for a request to cross regions
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
  /** Values in force before any configuration was seen. */
  public static final RoutingSettings DEFAULTS =
      new RoutingSettings(8, 64, 2_000, 30_000, 10, 150, 3_000);
}
