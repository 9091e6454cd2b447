package org.vanillacove.coordination.api;

import java.time.Duration;

/**
 * Times that the parts of the cell keep.
 *
 * @param heartbeat interval of heartbeats between entry hosts
 * @param suspicion silence after which a host is taken for dead
 * @param standing time that one vouching for a host's standing lasts
 * @param lease length of the lease of tasks on workers
 * @param drift margin for clocks that run apart and for commands under way
 * @param renewal interval between renewals of a worker's leases
 * @param batch shortest interval between two appends of one host
 * @param tail interval between reads of the log's end
 * @param decision interval between placement decisions
 * @param upkeep interval of slower checks: worker list, membership, certainty of lapse
 * @param hostRemoval silence after which a dead host is taken out of the agreed membership
 * @param snapshot interval between snapshots
 */
public record CellTimings(
    Duration heartbeat,
    Duration suspicion,
    Duration standing,
    Duration lease,
    Duration drift,
    Duration renewal,
    Duration batch,
    Duration tail,
    Duration decision,
    Duration upkeep,
    Duration hostRemoval,
    Duration snapshot) {
  /** Times for the planned size. */
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

  /** Checks that the times fit each other. */
  public CellTimings {
    require(heartbeat.multipliedBy(2).compareTo(suspicion) <= 0, "suspicion", "two heartbeats");
    require(suspicion.compareTo(standing) <= 0, "standing", "the suspicion time");
    require(standing.compareTo(lease) < 0, "lease", "the standing time");
    require(renewal.multipliedBy(2).compareTo(lease) <= 0, "lease", "two renewal intervals");
  }

  private static void require(boolean holds, String field, String least) {
    if (!holds) {
      throw new IllegalArgumentException(field + " must be at least " + least);
    }
  }
}
