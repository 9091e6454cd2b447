package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** A worker with what is committed on it. */
final class WorkerState {
  /** Number of workers that are in no table. */
  private static final int UNKNOWN_NUMBER = -1;

  /** Position in the tables of the index, stable while the worker is known. */
  private final int number;

  /** Tasks that hold capacity. */
  private final List<RunningTask> running = new ArrayList<>();

  /** Indexes that the worker belongs to. */
  private final List<FreeIndex> indexes = new ArrayList<>();

  /** The worker as listed. */
  private WorkerSpec spec;

  /** Status set by operators or by the platform. */
  private WorkerStatus status = WorkerStatus.ACTIVE;

  /** Capacity that no task holds; negative components after the shape shrank. */
  private Resources free;

  /** Free capacity that is promised to tasks not yet started. */
  private Resources held = Resources.NONE;

  /** What tasks were seen to use beyond what they hold. */
  private Resources overuse = Resources.NONE;

  /** Capacity for new tasks: free, less held, less overuse. */
  private Resources placeable;

  /** Reservation that fences the worker. */
  private Optional<Reservation> reservation = Optional.empty();

  /** Whether it failed unlike tasks and takes none for now. */
  private boolean quarantined;

  /** Whether it takes one task at a time after a quarantine. */
  private boolean onProbation;

  /** Whether it is listed among those that gained room. */
  private boolean gained;

  WorkerState(int number, WorkerSpec spec) {
    this.number = number;
    this.spec = spec;
    this.free = spec.capacity();
    this.placeable = free;
  }

  /** Returns a stand-in for a worker that runs a task but is not known, without capacity. */
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

  /** Replaces the shape and keeps what is committed. */
  void reshape(WorkerSpec shape) {
    free = free.plus(shape.capacity()).minus(spec.capacity());
    spec = shape;
    recount();
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

  /** Returns whether the worker takes tasks without regard to a reservation. */
  boolean takesTasks() {
    return isActive() && !quarantined && (!onProbation || running.isEmpty());
  }

  /** Returns whether the worker takes tasks of any job. */
  boolean isOpen() {
    return takesTasks() && reservation.isEmpty();
  }

  Resources free() {
    return free;
  }

  Resources placeable() {
    return placeable;
  }

  /** Returns what is free, promised capacity included. */
  Resources available() {
    return placeable.plus(held);
  }

  List<RunningTask> running() {
    return running;
  }

  List<FreeIndex> indexes() {
    return indexes;
  }

  void commit(RunningTask task) {
    running.add(task);
    free = free.minus(task.committed());
    recount();
  }

  void release(RunningTask task) {
    if (!running.remove(task)) {
      throw new IllegalStateException("task " + task.id() + " holds nothing on " + id());
    }
    free = free.plus(task.committed());
    overuse = overuse.minus(task.overuse());
    recount();
  }

  void hold(Resources size) {
    held = held.plus(size);
    recount();
  }

  void unhold(Resources size) {
    held = held.minus(size);
    recount();
  }

  void changeOveruse(Resources before, Resources after) {
    overuse = overuse.minus(before).plus(after);
    recount();
  }

  Optional<Reservation> reservation() {
    return reservation;
  }

  void fence(Optional<Reservation> owner) {
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

  boolean isGained() {
    return gained;
  }

  void setGained(boolean gained) {
    this.gained = gained;
  }

  private void recount() {
    placeable = free.minus(held).minus(overuse);
  }
}
