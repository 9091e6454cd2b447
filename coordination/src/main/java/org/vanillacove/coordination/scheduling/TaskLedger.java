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

/** Tasks that run or whose newest facts are not folded yet, as the leader knows them. */
final class TaskLedger {
  /** The folded state. */
  private final CellStore store;

  /** Entries by task. */
  private final Map<TaskId, TaskEntry> entries = new HashMap<>();

  /** Entries of running or starting attempts, by worker. */
  private final Map<String, Map<TaskId, TaskEntry>> byWorker = new HashMap<>();

  TaskLedger(CellStore store) {
    this.store = store;
  }

  /** Returns the entry of a task, made from the folded state if need be; empty if unknown. */
  Optional<TaskEntry> find(TaskId id) {
    TaskEntry known = entries.get(id);
    return known != null ? Optional.of(known) : store.read(state -> fromState(state, id));
  }

  /** Keeps an entry until it is idle. */
  void keep(TaskEntry entry) {
    entries.put(entry.id(), entry);
  }

  /** Counts an entry among those of its worker. */
  void enterWorker(TaskEntry entry) {
    keep(entry);
    byWorker.computeIfAbsent(entry.workerId(), id -> new LinkedHashMap<>()).put(entry.id(), entry);
  }

  /** Takes an entry from its worker. */
  void leaveWorker(TaskEntry entry) {
    Map<TaskId, TaskEntry> onWorker = byWorker.get(entry.workerId());
    if (onWorker != null) {
      onWorker.remove(entry.id());
    }
  }

  /** Forgets an entry if the folded state says as much. */
  void dropIfIdle(TaskEntry entry) {
    if (entry.isIdle()) {
      entries.remove(entry.id());
    }
  }

  /** Returns the entries of attempts on a worker. */
  List<TaskEntry> onWorker(String workerId) {
    return new ArrayList<>(byWorker.getOrDefault(workerId, Map.of()).values());
  }

  /** Returns all entries. */
  Collection<TaskEntry> all() {
    return new ArrayList<>(entries.values());
  }

  /** Loads all running tasks of the folded state. */
  void load(CellState state) {
    for (JobState job : state.jobs()) {
      for (int i = 0; i < job.spec().taskCount(); i++) {
        if (job.task(i).isRunning()) {
          fromState(state, new TaskId(job.jobId(), i)).ifPresent(this::enterWorker);
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
      entry.confirm(Long.MIN_VALUE);
    }
    if (task.settled() && !task.isRunning()) {
      entry.settle();
    }
    return Optional.of(entry);
  }
}
