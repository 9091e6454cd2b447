package org.vanillacove.state.cell;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** A worker as folded; changed by {@link CellState} only. */
public final class WorkerState {
  /** Tasks that run on it. */
  private final Set<TaskId> running = new LinkedHashSet<>();

  /** The worker. */
  private WorkerSpec spec;

  /** Whether it takes new tasks. */
  private WorkerStatus status;

  /** Why it has its status, empty if nobody said. */
  private String reason;

  /** Resources committed to running tasks. */
  private Resources committed = Resources.NONE;

  WorkerState(WorkerSpec spec, WorkerStatus status, String reason) {
    this.spec = spec;
    this.status = status;
    this.reason = reason;
  }

  /** Returns the worker. */
  public WorkerSpec spec() {
    return spec;
  }

  /** Returns whether it takes new tasks. */
  public WorkerStatus status() {
    return status;
  }

  /** Returns why it has its status, empty if nobody said. */
  public String reason() {
    return reason;
  }

  /** Returns the resources committed to running tasks. */
  public Resources committed() {
    return committed;
  }

  /** Returns the tasks that run on it, in order of start. */
  public Set<TaskId> running() {
    return Collections.unmodifiableSet(running);
  }

  void setSpec(WorkerSpec newSpec) {
    spec = newSpec;
  }

  void setStatus(WorkerStatus newStatus, String newReason) {
    status = newStatus;
    reason = newReason;
  }

  void add(TaskId task, Resources resources) {
    running.add(task);
    committed = committed.plus(resources);
  }

  void remove(TaskId task, Resources resources) {
    running.remove(task);
    committed = committed.minus(resources);
  }
}
