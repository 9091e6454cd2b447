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
 * Tells when the leases on a suspended worker have lapsed for certain.
 *
 * <p>Renewals on the leader's word end one standing time after the plan that suspends the worker,
 * and not before the former leader's own standing has ended. Renewals on the region's word end one
 * standing time after enough hosts of the region confirmed that plan. The last renewal lasts one
 * lease, and a margin covers clocks that drift and commands under way.
 */
final class LapseClock {
  /** Smallest number of hosts of a region of which one may be silent. */
  private static final int REGION_WITH_SPARE = 3;

  /** Times that are kept. */
  private final CellTimings timings;

  /** Newest heartbeats. */
  private final PeerTable peers;

  /** This host. */
  private final String selfId;

  /** Epoch of this leader. */
  private final long epoch;

  /** Monotonic time of the claim in milliseconds. */
  private final long claimedAtMillis;

  /** Hosts that were members at the claim. */
  private final Set<String> membersAtClaim = new HashSet<>();

  /** Monotonic time at which a majority had confirmed the claim, in milliseconds. */
  private long confirmedAtMillis = Long.MAX_VALUE;

  LapseClock(
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

  /** Takes note of which hosts confirmed the claim. */
  void observe(long nowMillis) {
    PlanStamp claim = new PlanStamp(epoch, 0);
    long confirmed = membersAtClaim.stream().filter(id -> hasConfirmed(id, claim)).count();
    if (confirmedAtMillis == Long.MAX_VALUE && confirmed * 2 > membersAtClaim.size()) {
      confirmedAtMillis = nowMillis;
    }
  }

  /** Returns whether enough hosts of a region confirmed a plan to end renewals on their word. */
  boolean isConfirmed(List<HostSpec> region, PlanStamp stamp) {
    long silent = region.stream().filter(host -> !hasConfirmed(host.id(), stamp)).count();
    return silent == 0 || (silent == 1 && region.size() >= REGION_WITH_SPARE);
  }

  /** Returns whether leases of a class have lapsed for certain on a suspended worker. */
  boolean hasLapsed(WorkerWatch worker, LossPolicy loss, long nowMillis) {
    if (worker.suspendedAtMillis() == Long.MAX_VALUE || confirmedAtMillis == Long.MAX_VALUE) {
      return false;
    }
    long formerLeader =
        Math.max(claimedAtMillis, confirmedAtMillis) + timings.standing().toMillis();
    long stopped = Math.max(formerLeader, worker.suspendedAtMillis());
    if (loss == LossPolicy.KEEP) {
      if (worker.confirmedAtMillis() == Long.MAX_VALUE) {
        return false;
      }
      stopped = Math.max(stopped, worker.confirmedAtMillis());
    }
    long tail =
        timings.standing().toMillis() + timings.lease().toMillis() + timings.drift().toMillis();
    return nowMillis > stopped + tail;
  }

  private boolean hasConfirmed(String hostId, PlanStamp stamp) {
    return hostId.equals(selfId)
        || peers.get(hostId).map(heard -> heard.stamp().covers(stamp)).orElse(false);
  }
}
