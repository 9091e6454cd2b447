package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The reservations in force. */
final class Reservations {
  /** Reservations in force at once. */
  private static final int MAX_RESERVATIONS = 4;

  /** Part of the workers that may be fenced once a gang has a reservation, as a divisor. */
  private static final int MAX_FENCED_PART = 4;

  /** Workers of the cell. */
  private final WorkerTable workers;

  /** Reservations by age. */
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

  /** Returns whether a further reservation is allowed at all. */
  boolean hasRoom() {
    return active.size() < MAX_RESERVATIONS;
  }

  /** Puts a reservation in force if it does not fence too many workers. */
  boolean add(Reservation reservation) {
    int fenced = active.stream().filter(r -> r.count() > 1).mapToInt(r -> r.workers().size()).sum();
    int limit = workers.all().size() / MAX_FENCED_PART;
    if (!hasRoom() || (fenced > 0 && fenced + reservation.workers().size() > limit)) {
      return false;
    }
    active.add(reservation);
    for (WorkerState worker : reservation.workers()) {
      worker.fence(Optional.of(reservation));
      workers.changed(worker);
      workers.markGained(worker);
    }
    return true;
  }

  /** Ends a reservation and opens its workers. */
  void remove(Reservation reservation) {
    active.remove(reservation);
    for (WorkerState worker : reservation.workers()) {
      worker.fence(Optional.empty());
      workers.changed(worker);
      workers.markGained(worker);
    }
  }

  /** Returns a reserved worker with room for a task that ends before the room is needed. */
  Optional<WorkerState> backfill(ShapeKey shape, long endsAtMillis) {
    for (Reservation reservation : active) {
      if (endsAtMillis <= reservation.readyAtMillis()) {
        for (WorkerState worker : reservation.workers()) {
          if (worker.takesTasks()
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
