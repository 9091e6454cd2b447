package org.vanillacove.bench.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskId;

/** Checks the invariants that hold at any time and those that hold after all faults ended. */
final class InvariantCheck {
  /** Cell under test. */
  private final FaultyCell cell;

  /** Specifications of all submitted jobs, by job identifier. */
  private final Map<String, JobSpec> submitted = new TreeMap<>();

  /** Identifiers of the jobs whose submission was accepted. */
  private final Set<String> accepted = new HashSet<>();

  /** Identifiers of the jobs whose submission was refused. */
  private final Set<String> refused = new HashSet<>();

  /** Identifiers of the jobs whose cancellation was requested, whatever its outcome. */
  private final Set<String> cancelled = new HashSet<>();

  /** Highest configuration version whose proposal was accepted, zero before the first. */
  private long acceptedVersion;

  InvariantCheck(FaultyCell cell) {
    this.cell = cell;
  }

  void submitted(String jobId, JobSpec spec) {
    submitted.put(jobId, spec);
  }

  void accepted(String jobId) {
    accepted.add(jobId);
  }

  void refused(String jobId) {
    refused.add(jobId);
  }

  void cancelled(String jobId) {
    cancelled.add(jobId);
  }

  void configured(long version) {
    acceptedVersion = Math.max(acceptedVersion, version);
  }

  Set<String> jobIds() {
    return submitted.keySet();
  }

  /** Returns a violation of an invariant that holds at any time, empty if there is none. */
  Optional<String> checkNow() {
    Map<TaskId, String> places = new HashMap<>();
    for (WorkerModel worker : cell.workers.values()) {
      if (!worker.committed().fitsIn(worker.spec().capacity())) {
        return Optional.of(worker.spec().id() + " is over its capacity");
      }
      for (TaskId task : worker.runningTasks()) {
        String other = places.put(task, worker.spec().id());
        if (other != null) {
          return Optional.of(task + " runs on " + other + " and " + worker.spec().id());
        }
      }
    }
    return checkAtMostOnce().or(cell::versionRegression);
  }

  /** Returns the violations after all faults ended and the cell had time to settle. */
  Optional<String> checkSettled() {
    List<String> wrong = new ArrayList<>();
    for (Map.Entry<String, CellNode> entry : cell.liveNodes.entrySet()) {
      CellNode node = entry.getValue();
      if (node.configurationVersion() < acceptedVersion) {
        wrong.add(entry.getKey() + " does not have configuration " + acceptedVersion);
      }
      accepted.forEach(id -> checkJob(entry.getKey(), node.job(id), id, wrong));
      for (String id : refused) {
        if (node.job(id).isPresent()) {
          wrong.add(id + " was refused but is in the state");
        }
      }
      for (CellView.WorkerView worker : node.workers()) {
        if (!worker.committed().fitsIn(worker.spec().capacity())) {
          wrong.add(worker.spec().id() + " is committed beyond its capacity");
        }
      }
    }
    if (cell.liveNodes.values().stream().map(CellNode::jobs).distinct().count() > 1) {
      wrong.add("hosts differ in their state");
    }
    return wrong.isEmpty() ? Optional.empty() : Optional.of(String.join("; ", wrong));
  }

  private Optional<String> checkAtMostOnce() {
    for (Map.Entry<String, JobSpec> job : submitted.entrySet()) {
      if (job.getValue().rerun() == RerunPolicy.AT_MOST_ONCE) {
        for (int i = 0; i < job.getValue().taskCount(); i++) {
          TaskId task = new TaskId(job.getKey(), i);
          int starts = cell.workers.values().stream().mapToInt(w -> w.startCount(task)).sum();
          if (starts > 1) {
            return Optional.of(task + " may run at most once and was started " + starts + " times");
          }
        }
      }
    }
    return Optional.empty();
  }

  private void checkJob(
      String host, Optional<CellView.JobView> found, String id, List<String> wrong) {
    if (found.isEmpty()) {
      wrong.add(host + " lost the accepted " + id);
      return;
    }
    for (CellView.TaskView task : found.get().tasks()) {
      TaskId taskId = new TaskId(id, task.index());
      boolean runs = task.workerId().isPresent();
      boolean really =
          runs && cell.workers.get(task.workerId().get()).runningTasks().contains(taskId);
      if (!runs && !task.settled()) {
        wrong.add(host + ": " + taskId + " waits although there is free capacity");
      }
      if (runs && !really) {
        wrong.add(host + ": " + taskId + " does not run on the worker recorded in the state");
      }
      if (runs && cancelled.contains(id) && found.get().cancelled()) {
        wrong.add(host + ": " + taskId + " runs although its job is cancelled");
      }
    }
  }
}
