package org.vanillacove.state.cell;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** State of a worker as of the newest applied record; changed by {@link CellState} only. */
public final class WorkerState {
  /** Tasks that run on the worker, in order of start. */
  private final Set<TaskId> running = new LinkedHashSet<>();

  /** The worker with its capacity and labels. */
  private WorkerSpec spec;

  /** Whether new tasks may be started on the worker. */
  private WorkerStatus status;

  /** Reason of the status, empty if none was given. */
  private String reason;

  /** Resources committed to running tasks. */
  private Resources committed = Resources.NONE;

  WorkerState(WorkerSpec spec, WorkerStatus status, String reason) {
    this.spec = spec;
    this.status = status;
    this.reason = reason;
  }

  /** Returns the worker with its capacity and labels. */
  public WorkerSpec spec() {
    return spec;
  }

  /** Returns whether new tasks may be started on the worker. */
  public WorkerStatus status() {
    return status;
  }

  /** Returns the reason of the status, empty if none was given. */
  public String reason() {
    return reason;
  }

  /** Returns the resources committed to running tasks. */
  public Resources committed() {
    return committed;
  }

  /** Returns the tasks that run on the worker, in order of start. */
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
