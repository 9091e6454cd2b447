package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/**
 * Chooses workers with enough free capacity, each kind of workload under its own policy.
 *
 * <p>Tasks of services are spread over availability zones and racks; other tasks are packed.
 */
final class WorkerChooser {
  /** Maximum number of workers compared in one zone for a task of a service. */
  private static final int SPREAD_CANDIDATES = 24;

  /** Known workers with their indexes. */
  private final WorkerTable workers;

  /** Active reservations, whose workers short tasks may use as backfill. */
  private final Reservations reservations;

  /** Estimates of run times, for backfilling. */
  private final UsageEstimator estimator;

  WorkerChooser(WorkerTable workers, Reservations reservations, UsageEstimator estimator) {
    this.workers = workers;
    this.reservations = reservations;
    this.estimator = estimator;
  }

  /**
   * Chooses a worker for one task, empty if the task fits on none.
   *
   * <p>Workers on which the job failed are used only if no other fits.
   */
  Optional<WorkerState> choose(Job job, Shape shape, long nowMillis) {
    if (job.failedWorkers().isEmpty()) {
      return chooseAmong(job, shape, w -> true, nowMillis);
    }
    Optional<WorkerState> other =
        chooseAmong(job, shape, w -> !job.failedWorkers().contains(w.id()), nowMillis);
    return other.isPresent() ? other : chooseAmong(job, shape, w -> true, nowMillis);
  }

  /** Chooses workers for all pending tasks of a gang, in one region if possible. */
  Optional<List<WorkerState>> chooseForGang(Job job, Shape shape) {
    int count = shape.key().gangSize();
    Resources size = shape.key().size();
    Optional<List<WorkerState>> anywhere = packGang(shape.index(workers), size, count);
    if (anywhere.isEmpty() || isInOneRegion(anywhere.get())) {
      return anywhere;
    }
    for (String region : workers.regions()) {
      PlacementConstraints constraints = shape.key().constraints();
      if (constraints.regions().isEmpty() || constraints.regions().contains(region)) {
        FreeCapacityIndex index = workers.index(NarrowedConstraints.inRegion(constraints, region));
        Optional<List<WorkerState>> inRegion = packGang(index, size, count);
        if (inRegion.isPresent()) {
          return inRegion;
        }
      }
    }
    return anywhere;
  }

  /** Returns the worker of each task of a reservation that is ready. */
  static List<WorkerState> slots(Reservation reservation) {
    List<WorkerState> slots = new ArrayList<>();
    for (WorkerState worker : reservation.workers()) {
      if (worker.acceptsTasks()) {
        long copies =
            FeasibilityCheck.copies(worker.placeable(), reservation.size(), reservation.count());
        for (long i = 0; i < copies && slots.size() < reservation.count(); i++) {
          slots.add(worker);
        }
      }
    }
    return slots;
  }

  private Optional<WorkerState> chooseAmong(
      Job job, Shape shape, Predicate<WorkerState> filter, long nowMillis) {
    if (shape.key().service()) {
      return chooseSpread(job, shape, filter);
    }
    Optional<WorkerState> packed = shape.index(workers).find(shape.key().size(), filter);
    if (packed.isPresent() || reservations.active().isEmpty()) {
      return packed;
    }
    long end = nowMillis + estimator.highMillis(job.spec());
    return reservations.backfill(shape.key(), end).filter(filter);
  }

  private Optional<WorkerState> chooseSpread(Job job, Shape shape, Predicate<WorkerState> filter) {
    Map<String, Integer> byZone = new HashMap<>();
    Map<String, Integer> byRack = new HashMap<>();
    for (RunningTask task : job.running()) {
      WorkerSpec spec = task.worker().spec();
      byZone.merge(spec.zone().name(), 1, Integer::sum);
      byRack.merge(spec.rack(), 1, Integer::sum);
    }
    for (String zone : zonesByUse(job, shape, byZone)) {
      List<WorkerState> found = new ArrayList<>();
      FreeCapacityIndex index = shape.zoneIndex(workers, zone);
      index.collect(shape.key().size(), filter, SPREAD_CANDIDATES, found);
      Optional<WorkerState> best =
          found.stream()
              .min(
                  Comparator.comparingInt(
                          (WorkerState w) -> byRack.getOrDefault(w.spec().rack(), 0))
                      .thenComparingInt(w -> w.spec().capacity().accelerators())
                      .thenComparingDouble(
                          w -> FreeCapacityIndex.leftoverScore(shape.key().size(), w)));
      if (best.isPresent()) {
        return best;
      }
    }
    return Optional.empty();
  }

  private List<String> zonesByUse(Job job, Shape shape, Map<String, Integer> byZone) {
    List<String> zones = new ArrayList<>(workers.zones());
    if (!shape.key().constraints().zones().isEmpty()) {
      zones.retainAll(shape.key().constraints().zones());
    }
    if (zones.size() > 1) {
      Collections.rotate(zones, Math.floorMod(job.id().hashCode(), zones.size()));
      zones.sort(Comparator.comparingInt(zone -> byZone.getOrDefault(zone, 0)));
    }
    return zones;
  }

  private Optional<List<WorkerState>> packGang(FreeCapacityIndex index, Resources size, int count) {
    List<WorkerState> chosen = new ArrayList<>(count);
    while (chosen.size() < count) {
      Optional<WorkerState> worker = index.find(size, w -> true);
      if (worker.isEmpty()) {
        break;
      }
      workers.reserve(worker.get(), size);
      chosen.add(worker.get());
    }
    for (WorkerState worker : chosen) {
      workers.unreserve(worker, size);
    }
    return chosen.size() == count ? Optional.of(chosen) : Optional.empty();
  }

  private static boolean isInOneRegion(List<WorkerState> chosen) {
    return chosen.stream().map(w -> w.spec().zone().region()).distinct().count() == 1;
  }
}
