package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.state.api.Resources;

/**
 * Workers that may hold runs of former leaders which the present leader does not know. Inherited
 * tasks wait until there are none: each has listed all its runs and ends, or its lease has expired.
 */
final class UnreportedWorkers {
  /** Logs workers that are no longer waited for (prefix {@code workers:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Maximum time for which a former leader renews leases after a newer leadership claim. */
  private static final long MAX_FORMER_LEADER_MILLIS = 3_500;

  /** Minimum rate of a worker's clock relative to this host's clock. */
  private static final double MIN_CLOCK_RATE = 0.98;

  /** Identifiers of the workers. */
  private final Set<String> ids = new HashSet<>();

  /** Recorded capacities by worker identifier. */
  private final Map<String, Resources> capacities = new HashMap<>();

  /** Sessions by worker identifier; maintained by the cell. */
  private final Map<String, WorkerSession> workers;

  /** Records of the workers that may hold runs. */
  private final WorkerRecords records;

  /** Monotonic time in milliseconds after which no lease of a former leader can be valid. */
  private final long leasesEndMillis;

  /** Called when all runs of former leaders have become known. */
  private final Runnable allKnown;

  /** Creates an empty set. */
  UnreportedWorkers(
      Map<String, WorkerSession> workers,
      WorkerRecords records,
      long leasesEndMillis,
      Runnable allKnown) {
    this.workers = workers;
    this.records = records;
    this.leasesEndMillis = leasesEndMillis;
    this.allKnown = allKnown;
  }

  /** Returns when the leases of former leaders have expired, for a leader that begins now. */
  static long formerLeasesEndMillis(long nowMillis, LeaseTerms lease) {
    return nowMillis + MAX_FORMER_LEADER_MILLIS + (long) (lease.maxMillis() / MIN_CLOCK_RATE);
  }

  /** Adds the workers that former leaders recorded, with their capacity if it was recorded. */
  void load(Map<String, Optional<Resources>> recorded) {
    ids.addAll(recorded.keySet());
    recorded.forEach((id, capacity) -> capacity.ifPresent(known -> capacities.put(id, known)));
  }

  boolean isEmpty() {
    return ids.isEmpty();
  }

  int size() {
    return ids.size();
  }

  boolean contains(String id) {
    return ids.contains(id);
  }

  /**
   * Returns the total capacity of the workers, an upper bound of what may run on them; empty if the
   * capacity of one of them isn't known.
   */
  Optional<Resources> capacity(Map<String, WorkerEntry> directory) {
    Resources total = Resources.NONE;
    for (String id : ids) {
      WorkerSession session = workers.get(id);
      WorkerEntry entry = session == null ? directory.get(id) : session.entry();
      Resources recorded = capacities.get(id);
      if (entry == null && recorded == null) {
        return Optional.empty();
      }
      Resources announced = entry == null ? Resources.NONE : entry.capacity();
      total = total.plus(recorded == null ? announced : announced.max(recorded));
    }
    return Optional.of(total);
  }

  /** Removes a worker whose lease under the present leader has lapsed. */
  void remove(String id) {
    removeAll(List.of(id));
  }

  /** Removes the workers that have listed all their runs and ends. */
  void removeReported() {
    if (!ids.isEmpty()) {
      removeAll(
          workers.values().stream()
              .filter(WorkerSession::areRunsKnown)
              .map(WorkerSession::id)
              .toList());
    }
  }

  /** Removes the workers that have not reported, once the leases of former leaders have expired. */
  void expire(long nowMillis) {
    if (nowMillis <= leasesEndMillis) {
      return;
    }
    List<String> expired = ids.stream().filter(id -> !isReporting(id)).toList();
    if (expired.isEmpty()) {
      return;
    }
    LOG.atInfo().log("workers: leases of former leaders expired workers=%s", expired);
    // Without its record, later leaders don't wait for a worker that is gone.
    expired.stream().filter(id -> !workers.containsKey(id)).forEach(records::remove);
    removeAll(expired);
  }

  /** Returns whether a worker reports, so that its lease is renewed, although ends are missing. */
  private boolean isReporting(String id) {
    WorkerSession worker = workers.get(id);
    return worker != null && worker.hasReported() && !worker.areRunsKnown();
  }

  private void removeAll(List<String> removed) {
    if (ids.removeAll(removed) && ids.isEmpty()) {
      allKnown.run();
    }
  }
}
