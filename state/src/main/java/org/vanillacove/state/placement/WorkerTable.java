package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** Known workers, with an index for each set of constraints in use. */
final class WorkerTable {
  /** Maximum number of indexes kept; the least recently used one is retired. */
  private static final int MAX_INDEXES = 96;

  /** Creates an index for a set of constraints. */
  private final Function<PlacementConstraints, FreeCapacityIndex> newIndex;

  /** Known workers by identifier, in order of arrival. */
  private final Map<String, WorkerState> workers = new LinkedHashMap<>();

  /** Indexes by constraints, the most recently used one last. */
  private final Map<PlacementConstraints, FreeCapacityIndex> indexes =
      new LinkedHashMap<>(64, 0.75f, true);

  /** Workers that gained free capacity since the last {@link #takeCapacityGained}. */
  private final List<WorkerState> capacityGained = new ArrayList<>();

  /** Names of the regions with workers that aren't lost. */
  private final Set<String> regions = new TreeSet<>();

  /** Names of the availability zones with workers that aren't lost. */
  private final Set<String> zones = new TreeSet<>();

  /** Total capacity of all workers that aren't lost. */
  private Resources capacity = Resources.NONE;

  /** Whether capacity, regions and zones must be recomputed. */
  private boolean stale;

  /** Number of the next worker. */
  private int nextNumber;

  WorkerTable(Function<PlacementConstraints, FreeCapacityIndex> newIndex) {
    this.newIndex = newIndex;
  }

  /** Adds a worker or replaces its specification. */
  void add(WorkerSpec spec) {
    WorkerState worker = workers.get(spec.id());
    if (worker == null) {
      worker = new WorkerState(nextNumber++, spec);
      workers.put(spec.id(), worker);
    } else {
      removeFromIndexes(worker);
      worker.updateSpec(spec);
      if (worker.status() == WorkerStatus.LOST) {
        worker.setStatus(WorkerStatus.ACTIVE);
      }
    }
    for (FreeCapacityIndex index : indexes.values()) {
      addIfAllowed(index, worker);
    }
    markCapacityGained(worker);
    stale = true;
  }

  Optional<WorkerState> get(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  Collection<WorkerState> all() {
    return workers.values();
  }

  /** Returns the specifications of workers that accept tasks now or after a quarantine. */
  List<WorkerSpec> usableSpecs() {
    return workers.values().stream()
        .filter(w -> w.isActive() || w.status() == WorkerStatus.QUARANTINED)
        .map(WorkerState::spec)
        .toList();
  }

  Resources capacity() {
    updateTotals();
    return capacity;
  }

  Set<String> regions() {
    updateTotals();
    return regions;
  }

  Set<String> zones() {
    updateTotals();
    return zones;
  }

  void setStatus(WorkerState worker, WorkerStatus status) {
    worker.setStatus(status);
    changed(worker);
    if (worker.isSchedulable()) {
      markCapacityGained(worker);
    }
    removeIfLost(worker);
    stale = true;
  }

  /** Updates the indexes after the free capacity or the availability of a worker changed. */
  void changed(WorkerState worker) {
    List<FreeCapacityIndex> own = worker.indexes();
    for (int i = own.size() - 1; i >= 0; i--) {
      FreeCapacityIndex index = own.get(i);
      if (index.isRetired()) {
        own.remove(i);
      } else {
        index.update(worker);
      }
    }
  }

  void markCapacityGained(WorkerState worker) {
    if (!worker.hasCapacityGained()) {
      worker.setCapacityGained(true);
      capacityGained.add(worker);
    }
  }

  void commit(RunningTask task) {
    task.worker().commit(task);
    changed(task.worker());
  }

  void release(RunningTask task) {
    WorkerState worker = task.worker();
    worker.release(task);
    changed(worker);
    if (workers.get(worker.id()) == worker) {
      markCapacityGained(worker);
    }
    removeIfLost(worker);
  }

  void reserve(WorkerState worker, Resources size) {
    worker.reserve(size);
    changed(worker);
  }

  /** Releases reserved capacity; {@link #markCapacityGained} makes blocked jobs try again. */
  void unreserve(WorkerState worker, Resources size) {
    worker.unreserve(size);
    changed(worker);
  }

  /** Returns and clears the workers that gained free capacity. */
  List<WorkerState> takeCapacityGained() {
    List<WorkerState> result = new ArrayList<>(capacityGained);
    result.forEach(worker -> worker.setCapacityGained(false));
    capacityGained.clear();
    return result;
  }

  /** Returns the index of the workers that satisfy {@code constraints}. */
  FreeCapacityIndex index(PlacementConstraints constraints) {
    FreeCapacityIndex index = indexes.get(constraints);
    if (index == null) {
      retireLeastRecentlyUsed();
      index = newIndex.apply(constraints);
      indexes.put(constraints, index);
      for (WorkerState worker : workers.values()) {
        addIfAllowed(index, worker);
      }
    }
    return index;
  }

  private void retireLeastRecentlyUsed() {
    if (indexes.size() >= MAX_INDEXES) {
      PlacementConstraints oldest = indexes.keySet().iterator().next();
      indexes.remove(oldest).retire();
    }
  }

  private static void addIfAllowed(FreeCapacityIndex index, WorkerState worker) {
    if (index.constraints().allows(worker.spec())) {
      worker.indexes().add(index);
      index.addWorker(worker);
    }
  }

  private static void removeFromIndexes(WorkerState worker) {
    for (FreeCapacityIndex index : worker.indexes()) {
      index.removeWorker(worker);
    }
    worker.indexes().clear();
  }

  private void removeIfLost(WorkerState worker) {
    if (worker.status() == WorkerStatus.LOST
        && worker.running().isEmpty()
        && workers.remove(worker.id(), worker)) {
      removeFromIndexes(worker);
      stale = true;
    }
  }

  private void updateTotals() {
    if (!stale) {
      return;
    }
    stale = false;
    capacity = Resources.NONE;
    regions.clear();
    zones.clear();
    for (WorkerState worker : workers.values()) {
      if (worker.status() != WorkerStatus.LOST) {
        capacity = capacity.plus(worker.spec().capacity());
        regions.add(worker.spec().zone().region());
        zones.add(worker.spec().zone().name());
      }
    }
  }
}
