package org.vanillacove.coordination.session;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.vanillacove.protocol.generated.SessionPlanMessage;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.WorkerSpec;

/**
 * The leader's list of hosts that hold worker sessions; every host derives its own workers from it.
 *
 * @param stamp epoch and version of the plan
 * @param liveHosts identifiers of the hosts that hold sessions
 * @param suspended identifiers of the workers whose leases no host renews
 */
public record SessionPlan(PlanStamp stamp, SortedSet<String> liveHosts, Set<String> suspended) {
  /** Placeholder before the first plan; no host holds a session. */
  public static final SessionPlan NONE = new SessionPlan(PlanStamp.NONE, new TreeSet<>(), Set.of());

  /** Copies the collections, so that later changes of the originals have no effect. */
  public SessionPlan {
    liveHosts = new TreeSet<>(liveHosts);
    suspended = Set.copyOf(suspended);
  }

  /**
   * Returns the host that holds a worker's session, by rendezvous hashing over the live hosts of
   * the worker's region, or over all live hosts if the region has none; empty if no host is live.
   */
  public Optional<String> holderOf(WorkerSpec worker, Collection<HostSpec> hosts) {
    List<HostSpec> live = hosts.stream().filter(host -> liveHosts.contains(host.id())).toList();
    List<HostSpec> near =
        live.stream().filter(host -> host.zone().region().equals(worker.zone().region())).toList();
    HostSpec best = null;
    long bestWeight = 0;
    for (HostSpec host : near.isEmpty() ? live : near) {
      long weight = weight(host.id(), worker.id());
      if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
        best = host;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best).map(HostSpec::id);
  }

  /** Encodes the plan for the reply to a host lease request. */
  public SessionPlanMessage toMessage() {
    return SessionPlanMessage.newBuilder()
        .setEpoch(stamp.epoch())
        .setVersion(stamp.version())
        .addAllLiveHosts(liveHosts)
        .addAllSuspendedWorkers(suspended)
        .build();
  }

  /** Decodes a plan. */
  public static SessionPlan of(SessionPlanMessage message) {
    return new SessionPlan(
        new PlanStamp(message.getEpoch(), message.getVersion()),
        new TreeSet<>(message.getLiveHostsList()),
        Set.copyOf(message.getSuspendedWorkersList()));
  }

  private static long weight(String hostId, String workerId) {
    return Hashing.farmHashFingerprint64()
        .newHasher()
        .putString(hostId, StandardCharsets.UTF_8)
        .putChar('/')
        .putString(workerId, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
