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
 * The leader's word on who holds sessions; every host derives its own workers from it.
 *
 * @param stamp age of the plan
 * @param liveHosts hosts that hold sessions
 * @param suspended workers whose leases nobody renews
 */
public record SessionPlan(PlanStamp stamp, SortedSet<String> liveHosts, Set<String> suspended) {
  /** The plan before the first. */
  public static final SessionPlan NONE = new SessionPlan(PlanStamp.NONE, new TreeSet<>(), Set.of());

  /** Copies the collections. */
  public SessionPlan {
    liveHosts = new TreeSet<>(liveHosts);
    suspended = Set.copyOf(suspended);
  }

  /** Returns the holder of a worker's session among {@code hosts}, preferring its region. */
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

  /** Returns the plan as a message. */
  public SessionPlanMessage toMessage() {
    return SessionPlanMessage.newBuilder()
        .setEpoch(stamp.epoch())
        .setVersion(stamp.version())
        .addAllLiveHosts(liveHosts)
        .addAllSuspendedWorkers(suspended)
        .build();
  }

  /** Returns the plan of a message. */
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
