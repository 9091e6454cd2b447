package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** A worker with its status and the capacity committed on it. */
final class WorkerState {
  /** Number of workers that belong to no worker table. */
  private static final int UNKNOWN_NUMBER = -1;

  /** Position in the arrays of the indexes, stable while the worker is known. */
  private final int number;

  /** Tasks with capacity committed on the worker. */
  private final List<RunningTask> running = new ArrayList<>();

  /** Indexes whose constraints the worker satisfies; retired ones are removed lazily. */
  private final List<FreeCapacityIndex> indexes = new ArrayList<>();

  /** Current specification of the worker. */
  private WorkerSpec spec;

  /** Status set by operators or by the platform, apart from quarantines decided here. */
  private WorkerStatus status = WorkerStatus.ACTIVE;

  /** Capacity not committed to tasks; negative if the specification shrank below what is used. */
  private Resources free;

  /** Part of the free capacity that is reserved for nominated tasks not yet started. */
  private Resources reserved = Resources.NONE;

  /** Usage observed beyond the committed capacity, summed over all tasks. */
  private Resources overuse = Resources.NONE;

  /** Capacity for new tasks: free minus reserved minus overuse. */
  private Resources placeable;

  /** Reservation that keeps the worker for one job, empty if there is none. */
  private Optional<Reservation> reservation = Optional.empty();

  /** Whether the worker accepts no tasks because tasks of several families failed on it. */
  private boolean quarantined;

  /** Whether the worker accepts only one task at a time after a quarantine. */
  private boolean onProbation;

  /** Whether the worker is in the list of workers that gained free capacity. */
  private boolean capacityGained;

  WorkerState(int number, WorkerSpec spec) {
    this.number = number;
    this.spec = spec;
    this.free = spec.capacity();
    this.placeable = free;
  }

  /** Returns a placeholder without capacity for an unknown worker that runs a task. */
  static WorkerState unknown(String id) {
    WorkerSpec spec =
        new WorkerSpec(
            id, "", new AvailabilityZone("", ""), "", Resources.NONE, Optional.empty(), Map.of());
    WorkerState worker = new WorkerState(UNKNOWN_NUMBER, spec);
    worker.setStatus(WorkerStatus.LOST);
    return worker;
  }

  int number() {
    return number;
  }

  String id() {
    return spec.id();
  }

  WorkerSpec spec() {
    return spec;
  }

  /** Replaces the specification and keeps the committed capacity. */
  void updateSpec(WorkerSpec updated) {
    free = free.plus(updated.capacity()).minus(spec.capacity());
    spec = updated;
    updatePlaceable();
  }

  WorkerStatus status() {
    return status;
  }

  void setStatus(WorkerStatus status) {
    this.status = status;
  }

  boolean isActive() {
    return status == WorkerStatus.ACTIVE;
  }

  /** Returns whether the worker accepts tasks, regardless of a reservation. */
  boolean acceptsTasks() {
    return isActive() && !quarantined && (!onProbation || running.isEmpty());
  }

  /** Returns whether the worker accepts tasks of any job. */
  boolean isSchedulable() {
    return acceptsTasks() && reservation.isEmpty();
  }

  Resources free() {
    return free;
  }

  Resources placeable() {
    return placeable;
  }

  /** Returns the capacity for new tasks plus the reserved capacity. */
  Resources placeableWithReserved() {
    return placeable.plus(reserved);
  }

  List<RunningTask> running() {
    return running;
  }

  List<FreeCapacityIndex> indexes() {
    return indexes;
  }

  void commit(RunningTask task) {
    running.add(task);
    free = free.minus(task.committed());
    updatePlaceable();
  }

  void release(RunningTask task) {
    if (!running.remove(task)) {
      throw new IllegalStateException(
          "task " + task.id() + " has no capacity committed on " + id());
    }
    free = free.plus(task.committed());
    overuse = overuse.minus(task.overuse());
    updatePlaceable();
  }

  void reserve(Resources size) {
    reserved = reserved.plus(size);
    updatePlaceable();
  }

  void unreserve(Resources size) {
    reserved = reserved.minus(size);
    updatePlaceable();
  }

  void changeOveruse(Resources before, Resources after) {
    overuse = overuse.minus(before).plus(after);
    updatePlaceable();
  }

  Optional<Reservation> reservation() {
    return reservation;
  }

  void setReservation(Optional<Reservation> owner) {
    reservation = owner;
  }

  boolean isQuarantined() {
    return quarantined;
  }

  void setQuarantined(boolean quarantined) {
    this.quarantined = quarantined;
  }

  boolean isOnProbation() {
    return onProbation;
  }

  void setOnProbation(boolean onProbation) {
    this.onProbation = onProbation;
  }

  boolean hasCapacityGained() {
    return capacityGained;
  }

  void setCapacityGained(boolean capacityGained) {
    this.capacityGained = capacityGained;
  }

  private void updatePlaceable() {
    placeable = free.minus(reserved).minus(overuse);
  }
}
