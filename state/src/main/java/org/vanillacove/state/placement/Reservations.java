package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Active reservations and the limits on their number and size. */
final class Reservations {
  /** Maximum number of active reservations. */
  private static final int MAX_RESERVATIONS = 4;

  /** Divisor of the share of workers that may be reserved once a gang has a reservation. */
  private static final int RESERVED_WORKERS_DIVISOR = 4;

  /** Known workers, whose indexes follow the reservations. */
  private final WorkerTable workers;

  /** Active reservations, oldest first. */
  private final List<Reservation> active = new ArrayList<>();

  Reservations(WorkerTable workers) {
    this.workers = workers;
  }

  List<Reservation> active() {
    return active;
  }

  Optional<Reservation> of(Job job) {
    return active.isEmpty()
        ? Optional.empty()
        : active.stream().filter(r -> r.job() == job).findFirst();
  }

  /** Returns whether the maximum number of reservations isn't reached yet. */
  boolean canAdd() {
    return active.size() < MAX_RESERVATIONS;
  }

  /** Activates a reservation unless too many workers would be reserved; returns whether it did. */
  boolean add(Reservation reservation) {
    int reservedForGangs =
        active.stream().filter(r -> r.count() > 1).mapToInt(r -> r.workers().size()).sum();
    int limit = workers.all().size() / RESERVED_WORKERS_DIVISOR;
    if (!canAdd()
        || (reservedForGangs > 0 && reservedForGangs + reservation.workers().size() > limit)) {
      return false;
    }
    active.add(reservation);
    for (WorkerState worker : reservation.workers()) {
      worker.setReservation(Optional.of(reservation));
      workers.changed(worker);
      workers.markCapacityGained(worker);
    }
    return true;
  }

  /** Ends a reservation and makes its workers available to all jobs again. */
  void remove(Reservation reservation) {
    active.remove(reservation);
    for (WorkerState worker : reservation.workers()) {
      worker.setReservation(Optional.empty());
      workers.changed(worker);
      workers.markCapacityGained(worker);
    }
  }

  /** Returns a reserved worker that fits a task which ends before the reservation is ready. */
  Optional<WorkerState> backfill(ShapeKey shape, long endsAtMillis) {
    for (Reservation reservation : active) {
      if (endsAtMillis <= reservation.readyAtMillis()) {
        for (WorkerState worker : reservation.workers()) {
          if (worker.acceptsTasks()
              && shape.size().fitsIn(worker.placeable())
              && shape.constraints().allows(worker.spec())) {
            return Optional.of(worker);
          }
        }
      }
    }
    return Optional.empty();
  }
}
