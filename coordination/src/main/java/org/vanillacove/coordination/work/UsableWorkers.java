package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Workers on which runs can be started now, by pool. Built once for each dispatch, so that a step
 * with few permitted workers doesn't look at all workers of a large cell.
 */
final class UsableWorkers {
  /** Usable workers of each pool. */
  private final Map<String, List<WorkerSession>> byService = new HashMap<>();

  /** Usable workers by identifier. */
  private final Map<String, WorkerSession> byId = new HashMap<>();

  /** Selects the usable ones of {@code workers} at {@code nowMillis}. */
  UsableWorkers(Collection<WorkerSession> workers, long nowMillis) {
    for (WorkerSession worker : workers) {
      if (worker.isUsable(nowMillis)) {
        byService
            .computeIfAbsent(worker.entry().service(), service -> new ArrayList<>())
            .add(worker);
        byId.put(worker.id(), worker);
      }
    }
  }

  /** Returns the usable workers of a pool. */
  List<WorkerSession> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns a worker of a pool if it is usable. */
  Optional<WorkerSession> find(String id, String service) {
    return Optional.ofNullable(byId.get(id))
        .filter(worker -> worker.entry().service().equals(service));
  }
}
