package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Equivalence class of pending jobs whose tasks fit on the same workers.
 *
 * <p>A job that fits nowhere blocks its shape, so that equal jobs aren't tried in vain.
 */
final class Shape {
  /** Properties that all jobs of this shape share. */
  private final ShapeKey key;

  /** Lanes with jobs of this shape, at most one per team and priority class. */
  private final List<Lane> lanes = new ArrayList<>(1);

  /** Index of the allowed workers, null until first used. */
  private FreeCapacityIndex index;

  /** Indexes of the allowed workers by availability zone, each added when first used. */
  private final Map<String, FreeCapacityIndex> zoneIndexes = new HashMap<>(0);

  /** Whether a job of this shape fitted nowhere and no worker gained capacity for it since. */
  private boolean blocked;

  Shape(ShapeKey key) {
    this.key = key;
  }

  ShapeKey key() {
    return key;
  }

  List<Lane> lanes() {
    return lanes;
  }

  boolean isBlocked() {
    return blocked;
  }

  void setBlocked(boolean blocked) {
    this.blocked = blocked;
  }

  /** Returns the current index of the allowed workers. */
  FreeCapacityIndex index(WorkerTable workers) {
    if (index == null || index.isRetired()) {
      index = workers.index(key.constraints());
    }
    return index;
  }

  /** Returns the current index of the allowed workers in an availability zone. */
  FreeCapacityIndex zoneIndex(WorkerTable workers, String zone) {
    FreeCapacityIndex known = zoneIndexes.get(zone);
    if (known == null || known.isRetired()) {
      known = workers.index(NarrowedConstraints.inZone(key.constraints(), zone));
      zoneIndexes.put(zone, known);
    }
    return known;
  }

  /** Returns whether a task of this shape fits into the free capacity of an allowed worker. */
  boolean mayFit(WorkerState worker) {
    return key.size().fitsIn(worker.placeable()) && key.constraints().allows(worker.spec());
  }
}
