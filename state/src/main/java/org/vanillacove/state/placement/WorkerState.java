package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.List;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** A worker with what is committed on it. */
final class WorkerState {
  /** Position in the tables of the index, stable while the worker is known. */
  private final int number;

  /** The worker as listed. */
  private WorkerSpec spec;

  /** Status set by operators or by the platform. */
  private WorkerStatus status = WorkerStatus.ACTIVE;

  /** Capacity that no task holds; negative components after the shape shrank. */
  private Resources free;

  /** Tasks that hold capacity. */
  private final List<RunningTask> running = new ArrayList<>();

  WorkerState(int number, WorkerSpec spec) {
    this.number = number;
    this.spec = spec;
    this.free = spec.capacity();
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

  Resources free() {
    return free;
  }

  List<RunningTask> running() {
    return running;
  }

  void commit(RunningTask task) {
    running.add(task);
    free = free.minus(task.committed());
  }

  void release(RunningTask task) {
    if (!running.remove(task)) {
      throw new IllegalStateException("task " + task.id() + " holds nothing on " + id());
    }
    free = free.plus(task.committed());
  }
}
