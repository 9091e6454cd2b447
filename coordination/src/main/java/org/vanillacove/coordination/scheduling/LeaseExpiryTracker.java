package org.vanillacove.coordination.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.membership.PeerTable;
import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.LossPolicy;

/**
 * Determines when the leases on a suspended worker have certainly expired.
 *
 * <p>Hosts whose host lease was granted by the leader stop renewing one host lease duration after
 * the plan that suspends the worker, and not before the host lease of the former leader has
 * expired. Hosts whose host lease was granted by a majority of the region stop one host lease
 * duration after enough hosts of the region confirmed that plan. The last renewal is valid for one
 * worker lease. A margin covers clock drift and commands in transit.
 */
final class LeaseExpiryTracker {
  /** Minimum size of a region that may have one host without confirmation. */
  private static final int MIN_REGION_WITH_SPARE = 3;

  /** Configured intervals and timeouts. */
  private final CellTimings timings;

  /** Newest heartbeat of each peer. */
  private final PeerTable peers;

  /** Identifier of this host. */
  private final String selfId;

  /** Leadership epoch of this host. */
  private final long epoch;

  /** Monotonic time of the leadership claim in milliseconds. */
  private final long claimedAtMillis;

  /** Hosts that were members at the time of the claim. */
  private final Set<String> membersAtClaim = new HashSet<>();

  /** Monotonic time at which a majority confirmed the claim, in milliseconds; maximum before. */
  private long claimConfirmedAtMillis = Long.MAX_VALUE;

  LeaseExpiryTracker(
      CellTimings timings,
      PeerTable peers,
      String selfId,
      long epoch,
      long claimedAtMillis,
      List<HostSpec> members) {
    this.timings = timings;
    this.peers = peers;
    this.selfId = selfId;
    this.epoch = epoch;
    this.claimedAtMillis = claimedAtMillis;
    members.forEach(host -> membersAtClaim.add(host.id()));
  }

  /** Checks whether a majority has confirmed the claim by now. */
  void recordClaimConfirmations(long nowMillis) {
    PlanStamp claim = new PlanStamp(epoch, 0);
    long confirmed = membersAtClaim.stream().filter(id -> hasConfirmed(id, claim)).count();
    if (claimConfirmedAtMillis == Long.MAX_VALUE && confirmed * 2 > membersAtClaim.size()) {
      claimConfirmedAtMillis = nowMillis;
    }
  }

  /** Returns whether so many hosts confirmed a plan that the others cannot form a majority. */
  boolean isPlanConfirmed(List<HostSpec> region, PlanStamp stamp) {
    long unconfirmed = region.stream().filter(host -> !hasConfirmed(host.id(), stamp)).count();
    return unconfirmed == 0 || (unconfirmed == 1 && region.size() >= MIN_REGION_WITH_SPARE);
  }

  /** Returns whether all leases of a loss policy have certainly expired on a suspended worker. */
  boolean haveLeasesExpired(MonitoredWorker worker, LossPolicy loss, long nowMillis) {
    if (worker.suspendedAtMillis() == Long.MAX_VALUE || claimConfirmedAtMillis == Long.MAX_VALUE) {
      return false;
    }
    long formerLeaseEndMillis =
        Math.max(claimedAtMillis, claimConfirmedAtMillis) + timings.hostLease().toMillis();
    long renewalsStoppedMillis = Math.max(formerLeaseEndMillis, worker.suspendedAtMillis());
    if (loss == LossPolicy.KEEP) {
      if (worker.planConfirmedAtMillis() == Long.MAX_VALUE) {
        return false;
      }
      renewalsStoppedMillis = Math.max(renewalsStoppedMillis, worker.planConfirmedAtMillis());
    }
    long maxValidityMillis =
        timings.hostLease().toMillis() + timings.lease().toMillis() + timings.drift().toMillis();
    return nowMillis > renewalsStoppedMillis + maxValidityMillis;
  }

  private boolean hasConfirmed(String hostId, PlanStamp stamp) {
    return hostId.equals(selfId)
        || peers
            .get(hostId)
            .map(heartbeat -> heartbeat.stamp().isAtLeastAsNewAs(stamp))
            .orElse(false);
  }
}
