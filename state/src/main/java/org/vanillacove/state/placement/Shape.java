package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Waiting work of one key, with what is known about its chance to fit. */
final class Shape {
  /** What decides where it fits. */
  private final ShapeKey key;

  /** Queues that hold work of this shape. */
  private final List<Lane> lanes = new ArrayList<>(1);

  /** Index of the allowed workers. */
  private FreeIndex index;

  /** Indexes of the allowed workers by availability zone. */
  private final Map<String, FreeIndex> zoneIndexes = new HashMap<>(0);

  /** Whether nothing of this shape fitted since the last worker gained room for it. */
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

  /** Returns the index of the allowed workers. */
  FreeIndex index(WorkerTable workers) {
    if (index == null || index.isRetired()) {
      index = workers.index(key.constraints());
    }
    return index;
  }

  /** Returns the index of the allowed workers in a zone. */
  FreeIndex zoneIndex(WorkerTable workers, String zone) {
    FreeIndex known = zoneIndexes.get(zone);
    if (known == null || known.isRetired()) {
      known = workers.index(Domains.inZone(key.constraints(), zone));
      zoneIndexes.put(zone, known);
    }
    return known;
  }

  /** Returns whether room gained on a worker may let something of this shape fit. */
  boolean mayFit(WorkerState worker) {
    return key.size().fitsIn(worker.placeable()) && key.constraints().allows(worker.spec());
  }
}
