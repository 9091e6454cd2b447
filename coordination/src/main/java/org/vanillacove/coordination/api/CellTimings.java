package org.vanillacove.coordination.api;

import java.time.Duration;

/**
 * Intervals and timeouts of the cell.
 *
 * @param heartbeat interval of heartbeats between entry hosts
 * @param suspicion time without a heartbeat after which a host counts as unreachable
 * @param hostLease duration of a host lease
 * @param lease duration of a worker's lease on its running tasks
 * @param drift safety margin for clock drift and for commands still on the network
 * @param renewal interval between renewals of a worker's leases
 * @param batch minimum interval between two appends of one host to the log
 * @param logPoll interval between reads of new records from the log
 * @param decision interval between placement decisions
 * @param maintenance interval of maintenance: worker list, membership, expiry of leases
 * @param hostRemoval time without a heartbeat after which a host is removed from the membership
 * @param snapshot interval between snapshots
 */
public record CellTimings(
    Duration heartbeat,
    Duration suspicion,
    Duration hostLease,
    Duration lease,
    Duration drift,
    Duration renewal,
    Duration batch,
    Duration logPoll,
    Duration decision,
    Duration maintenance,
    Duration hostRemoval,
    Duration snapshot) {
  /** Default values, for the planned size of a cell. */
  public static final CellTimings DEFAULTS =
      new CellTimings(
          Duration.ofMillis(500),
          Duration.ofSeconds(2),
          Duration.ofSeconds(4),
          Duration.ofSeconds(15),
          Duration.ofMillis(1_500),
          Duration.ofSeconds(5),
          Duration.ofMillis(50),
          Duration.ofMillis(200),
          Duration.ofMillis(50),
          Duration.ofSeconds(1),
          Duration.ofSeconds(60),
          Duration.ofMinutes(10));

  /** Checks that no duration is too short in relation to another. */
  public CellTimings {
    require(heartbeat.multipliedBy(2).compareTo(suspicion) <= 0, "suspicion", "two heartbeats");
    require(suspicion.compareTo(hostLease) <= 0, "standing", "the suspicion time");
    require(hostLease.compareTo(lease) < 0, "lease", "the host lease time");
    require(renewal.multipliedBy(2).compareTo(lease) <= 0, "lease", "two renewal intervals");
  }

  private static void require(boolean holds, String field, String minimum) {
    if (!holds) {
      throw new IllegalArgumentException(field + " must be at least " + minimum);
    }
  }
}
