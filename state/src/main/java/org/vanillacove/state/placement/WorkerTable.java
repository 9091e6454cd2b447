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

/** The workers of the cell, with an index for each set of constraints in use. */
final class WorkerTable {
  /** Indexes kept; the one that was unused for longest goes first. */
  private static final int MAX_INDEXES = 96;

  /** Creates the index of a set of constraints. */
  private final Function<PlacementConstraints, FreeIndex> newIndex;

  /** Known workers by identifier, in order of arrival. */
  private final Map<String, WorkerState> workers = new LinkedHashMap<>();

  /** Indexes by constraints, the one used last at the end. */
  private final Map<PlacementConstraints, FreeIndex> indexes = new LinkedHashMap<>(64, 0.75f, true);

  /** Workers that gained room since the last {@link #takeGained}. */
  private final List<WorkerState> gained = new ArrayList<>();

  /** Names of regions with workers. */
  private final Set<String> regions = new TreeSet<>();

  /** Names of availability zones with workers. */
  private final Set<String> zones = new TreeSet<>();

  /** Capacity of all workers that are not lost. */
  private Resources capacity = Resources.NONE;

  /** Whether capacity, regions and zones have to be counted again. */
  private boolean stale;

  /** Number of the next worker. */
  private int nextNumber;

  WorkerTable(Function<PlacementConstraints, FreeIndex> newIndex) {
    this.newIndex = newIndex;
  }

  /** Adds a worker or replaces its shape. */
  void add(WorkerSpec spec) {
    WorkerState worker = workers.get(spec.id());
    if (worker == null) {
      worker = new WorkerState(nextNumber++, spec);
      workers.put(spec.id(), worker);
    } else {
      leaveIndexes(worker);
      worker.reshape(spec);
      if (worker.status() == WorkerStatus.LOST) {
        worker.setStatus(WorkerStatus.ACTIVE);
      }
    }
    for (FreeIndex index : indexes.values()) {
      joinIfAllowed(index, worker);
    }
    markGained(worker);
    stale = true;
  }

  Optional<WorkerState> get(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  Collection<WorkerState> all() {
    return workers.values();
  }

  /** Returns the shapes of workers that take tasks now or after a quarantine. */
  List<WorkerSpec> usableSpecs() {
    return workers.values().stream()
        .filter(w -> w.isActive() || w.status() == WorkerStatus.QUARANTINED)
        .map(WorkerState::spec)
        .toList();
  }

  Resources capacity() {
    recount();
    return capacity;
  }

  Set<String> regions() {
    recount();
    return regions;
  }

  Set<String> zones() {
    recount();
    return zones;
  }

  void setStatus(WorkerState worker, WorkerStatus status) {
    worker.setStatus(status);
    changed(worker);
    if (worker.isOpen()) {
      markGained(worker);
    }
    dropIfGone(worker);
    stale = true;
  }

  /** Brings the indexes up to date after the worker opened, closed or changed its free capacity. */
  void changed(WorkerState worker) {
    List<FreeIndex> own = worker.indexes();
    for (int i = own.size() - 1; i >= 0; i--) {
      FreeIndex index = own.get(i);
      if (index.isRetired()) {
        own.remove(i);
      } else {
        index.update(worker);
      }
    }
  }

  void markGained(WorkerState worker) {
    if (!worker.isGained()) {
      worker.setGained(true);
      gained.add(worker);
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
      markGained(worker);
    }
    dropIfGone(worker);
  }

  void hold(WorkerState worker, Resources size) {
    worker.hold(size);
    changed(worker);
  }

  /** Frees what was held; {@link #markGained} lets others have it. */
  void unhold(WorkerState worker, Resources size) {
    worker.unhold(size);
    changed(worker);
  }

  /** Returns the workers that gained room and forgets them. */
  List<WorkerState> takeGained() {
    List<WorkerState> result = new ArrayList<>(gained);
    result.forEach(worker -> worker.setGained(false));
    gained.clear();
    return result;
  }

  /** Returns the index of the workers that satisfy {@code constraints}. */
  FreeIndex index(PlacementConstraints constraints) {
    FreeIndex index = indexes.get(constraints);
    if (index == null) {
      retireOldest();
      index = newIndex.apply(constraints);
      indexes.put(constraints, index);
      for (WorkerState worker : workers.values()) {
        joinIfAllowed(index, worker);
      }
    }
    return index;
  }

  private void retireOldest() {
    if (indexes.size() >= MAX_INDEXES) {
      PlacementConstraints oldest = indexes.keySet().iterator().next();
      indexes.remove(oldest).retire();
    }
  }

  private static void joinIfAllowed(FreeIndex index, WorkerState worker) {
    if (index.constraints().allows(worker.spec())) {
      worker.indexes().add(index);
      index.join(worker);
    }
  }

  private static void leaveIndexes(WorkerState worker) {
    for (FreeIndex index : worker.indexes()) {
      index.leave(worker);
    }
    worker.indexes().clear();
  }

  private void dropIfGone(WorkerState worker) {
    if (worker.status() == WorkerStatus.LOST
        && worker.running().isEmpty()
        && workers.remove(worker.id(), worker)) {
      leaveIndexes(worker);
      stale = true;
    }
  }

  private void recount() {
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
