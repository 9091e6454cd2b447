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

/** Chooses workers with room, each kind of workload under its own policy. */
final class WorkerChooser {
  /** Workers compared for one replica of a service. */
  private static final int SPREAD_CANDIDATES = 24;

  /** Workers of the cell. */
  private final WorkerTable workers;

  /** Reservations that short tasks may run behind. */
  private final Reservations reservations;

  /** Estimates of run times. */
  private final UsageEstimator estimator;

  WorkerChooser(WorkerTable workers, Reservations reservations, UsageEstimator estimator) {
    this.workers = workers;
    this.reservations = reservations;
    this.estimator = estimator;
  }

  /** Chooses a worker for one task, empty if none has room. */
  Optional<WorkerState> choose(Job job, Shape shape, long nowMillis) {
    if (job.failedWorkers().isEmpty()) {
      return chooseAmong(job, shape, w -> true, nowMillis);
    }
    Optional<WorkerState> other =
        chooseAmong(job, shape, w -> !job.failedWorkers().contains(w.id()), nowMillis);
    return other.isPresent() ? other : chooseAmong(job, shape, w -> true, nowMillis);
  }

  /** Chooses workers for all waiting tasks of a gang, in one region if possible. */
  Optional<List<WorkerState>> chooseTogether(Job job, Shape shape) {
    int count = shape.key().together();
    Resources size = shape.key().size();
    Optional<List<WorkerState>> anywhere = fill(shape.index(workers), size, count);
    if (anywhere.isEmpty() || isInOneRegion(anywhere.get())) {
      return anywhere;
    }
    for (String region : workers.regions()) {
      PlacementConstraints constraints = shape.key().constraints();
      if (constraints.regions().isEmpty() || constraints.regions().contains(region)) {
        FreeIndex index = workers.index(Domains.inRegion(constraints, region));
        Optional<List<WorkerState>> inRegion = fill(index, size, count);
        if (inRegion.isPresent()) {
          return inRegion;
        }
      }
    }
    return anywhere;
  }

  /** Returns one entry for each task of a reservation that is ready. */
  static List<WorkerState> slots(Reservation reservation) {
    List<WorkerState> slots = new ArrayList<>();
    for (WorkerState worker : reservation.workers()) {
      if (worker.takesTasks()) {
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
      return spread(job, shape, filter);
    }
    Optional<WorkerState> packed = shape.index(workers).find(shape.key().size(), filter);
    if (packed.isPresent() || reservations.active().isEmpty()) {
      return packed;
    }
    long end = nowMillis + estimator.highMillis(job.spec());
    return reservations.backfill(shape.key(), end).filter(filter);
  }

  private Optional<WorkerState> spread(Job job, Shape shape, Predicate<WorkerState> filter) {
    Map<String, Integer> byZone = new HashMap<>();
    Map<String, Integer> byRack = new HashMap<>();
    for (RunningTask task : job.running()) {
      WorkerSpec spec = task.worker().spec();
      byZone.merge(spec.zone().name(), 1, Integer::sum);
      byRack.merge(spec.rack(), 1, Integer::sum);
    }
    for (String zone : zonesByUse(job, shape, byZone)) {
      List<WorkerState> found = new ArrayList<>();
      FreeIndex index = shape.zoneIndex(workers, zone);
      index.collect(shape.key().size(), filter, SPREAD_CANDIDATES, found);
      Optional<WorkerState> best =
          found.stream()
              .min(
                  Comparator.comparingInt(
                          (WorkerState w) -> byRack.getOrDefault(w.spec().rack(), 0))
                      .thenComparingInt(w -> w.spec().capacity().accelerators())
                      .thenComparingDouble(w -> FreeIndex.leftover(shape.key().size(), w)));
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

  private Optional<List<WorkerState>> fill(FreeIndex index, Resources size, int count) {
    List<WorkerState> chosen = new ArrayList<>(count);
    while (chosen.size() < count) {
      Optional<WorkerState> worker = index.find(size, w -> true);
      if (worker.isEmpty()) {
        break;
      }
      workers.hold(worker.get(), size);
      chosen.add(worker.get());
    }
    for (WorkerState worker : chosen) {
      workers.unhold(worker, size);
    }
    return chosen.size() == count ? Optional.of(chosen) : Optional.empty();
  }

  private static boolean isInOneRegion(List<WorkerState> chosen) {
    return chosen.stream().map(w -> w.spec().zone().region()).distinct().count() == 1;
  }
}
