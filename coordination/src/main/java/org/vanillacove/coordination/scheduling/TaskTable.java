package org.vanillacove.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.JobState;
import org.vanillacove.state.cell.TaskState;

/** Tasks that run or whose newest changes are not yet in the cell state. */
final class TaskTable {
  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Entries by task; tasks that are idle are read from the cell state. */
  private final Map<TaskId, TaskEntry> entries = new HashMap<>();

  /** Entries of starting and running attempts by worker. */
  private final Map<String, Map<TaskId, TaskEntry>> byWorker = new HashMap<>();

  TaskTable(CellStore store) {
    this.store = store;
  }

  /** Returns the entry of a task, created from the cell state if necessary; empty if unknown. */
  Optional<TaskEntry> find(TaskId id) {
    TaskEntry known = entries.get(id);
    return known != null ? Optional.of(known) : store.read(state -> fromState(state, id));
  }

  /** Stores an entry until it is idle. */
  void track(TaskEntry entry) {
    entries.put(entry.id(), entry);
  }

  /** Adds an entry to those of its worker. */
  void addToWorker(TaskEntry entry) {
    track(entry);
    byWorker.computeIfAbsent(entry.workerId(), id -> new LinkedHashMap<>()).put(entry.id(), entry);
  }

  /** Removes an entry from those of its worker. */
  void removeFromWorker(TaskEntry entry) {
    Map<TaskId, TaskEntry> onWorker = byWorker.get(entry.workerId());
    if (onWorker != null) {
      onWorker.remove(entry.id());
    }
  }

  /** Removes an entry that holds nothing beyond the cell state. */
  void dropIfIdle(TaskEntry entry) {
    if (entry.isIdle()) {
      entries.remove(entry.id());
    }
  }

  /** Returns the entries of starting and running attempts on a worker. */
  List<TaskEntry> onWorker(String workerId) {
    return new ArrayList<>(byWorker.getOrDefault(workerId, Map.of()).values());
  }

  /** Returns a copy of all entries. */
  Collection<TaskEntry> all() {
    return new ArrayList<>(entries.values());
  }

  /** Loads all running tasks of the cell state. */
  void load(CellState state) {
    for (JobState job : state.jobs()) {
      for (int i = 0; i < job.spec().taskCount(); i++) {
        if (job.task(i).isRunning()) {
          fromState(state, new TaskId(job.jobId(), i)).ifPresent(this::addToWorker);
        }
      }
    }
  }

  private static Optional<TaskEntry> fromState(CellState state, TaskId id) {
    Optional<TaskState> found = state.task(id);
    if (found.isEmpty()) {
      return Optional.empty();
    }
    TaskState task = found.get();
    TaskEntry.Phase phase = task.isRunning() ? TaskEntry.Phase.RUNNING : TaskEntry.Phase.PENDING;
    TaskEntry entry =
        new TaskEntry(
            id,
            state.job(id.jobId()).orElseThrow().spec(),
            task.attempt(),
            task.failures(),
            phase,
            task.workerId().orElse(""));
    if (task.isRunning()) {
      entry.markRunning(Long.MIN_VALUE);
    }
    if (task.settled() && !task.isRunning()) {
      entry.markSettled();
    }
    return Optional.of(entry);
  }
}
