package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkloadKind;

/** Applies the decisions of a placer to a model of the cell and checks that each is allowed. */
final class PlacerModel {
  /** Placer under test. */
  final Placer placer;

  /** Added workers by identifier. */
  final Map<String, WorkerSpec> workers = new LinkedHashMap<>();

  /** Submitted jobs by identifier. */
  final Map<String, JobSpec> jobs = new LinkedHashMap<>();

  /** Identifier of the worker that runs each task. */
  final Map<TaskId, String> running = new LinkedHashMap<>();

  /** Running tasks that the placer decided to stop. */
  final Set<TaskId> stopping = new HashSet<>();

  /** Number of preemptions of each task in favour of other jobs. */
  final Map<TaskId, Integer> preemptions = new HashMap<>();

  /** Identifiers of draining workers, which accept no tasks. */
  final Set<String> draining = new HashSet<>();

  PlacerModel(Placer placer) {
    this.placer = placer;
  }

  void addWorker(WorkerSpec worker) {
    workers.put(worker.id(), worker);
    placer.addWorker(worker);
  }

  void submit(String id, JobSpec spec, long now) {
    jobs.put(id, spec);
    placer.submit(id, spec, now);
  }

  /** Runs a round of the placer, then checks and applies its decisions. */
  List<PlacementDecision> decide(long now, int limit) {
    List<PlacementDecision> decisions = placer.decide(now, limit);
    Map<String, Integer> gangStarts = new HashMap<>();
    for (PlacementDecision decision : decisions) {
      switch (decision) {
        case PlacementDecision.Start start -> applyStart(start, gangStarts);
        case PlacementDecision.Preempt preempt -> applyPreempt(preempt);
      }
    }
    for (Map.Entry<String, Integer> entry : gangStarts.entrySet()) {
      long runningCount =
          running.keySet().stream().filter(t -> t.jobId().equals(entry.getKey())).count();
      JobSpec spec = jobs.get(entry.getKey());
      boolean stoppable = spec.checkpointable() || spec.rerun() == RerunPolicy.RERUN;
      require(
          runningCount == entry.getValue() || !stoppable,
          "gang " + entry.getKey() + " started partially");
    }
    checkCapacity();
    return decisions;
  }

  void end(TaskId task, TaskOutcome outcome, long now) {
    running.remove(task);
    stopping.remove(task);
    placer.taskEnded(task, outcome, now);
  }

  /** Ends all tasks that are to be stopped, as preempted. */
  void endStoppingTasks(long now) {
    for (TaskId task : List.copyOf(stopping)) {
      end(task, TaskOutcome.PREEMPTED, now);
    }
  }

  List<TaskId> runningTasks() {
    return new ArrayList<>(running.keySet());
  }

  Resources committed(String workerId) {
    Resources used = Resources.NONE;
    for (Map.Entry<TaskId, String> entry : running.entrySet()) {
      if (entry.getValue().equals(workerId)) {
        used = used.plus(jobs.get(entry.getKey().jobId()).resources());
      }
    }
    return used;
  }

  private void applyStart(PlacementDecision.Start start, Map<String, Integer> gangStarts) {
    JobSpec spec = jobs.get(start.task().jobId());
    require(!running.containsKey(start.task()), start.task() + " started twice");
    require(!draining.contains(start.workerId()), "start on draining " + start.workerId());
    require(
        spec.constraints().allows(workers.get(start.workerId())),
        start.task() + " on a worker that its constraints exclude");
    running.put(start.task(), start.workerId());
    if (spec.kind() == WorkloadKind.GANG) {
      gangStarts.merge(start.task().jobId(), 1, Integer::sum);
    }
  }

  private void applyPreempt(PlacementDecision.Preempt preempt) {
    JobSpec spec = jobs.get(preempt.task().jobId());
    require(running.containsKey(preempt.task()), "stop of " + preempt.task() + ", not running");
    require(stopping.add(preempt.task()), preempt.task() + " stopped twice");
    require(
        spec.checkpointable() || RerunRule.runsAgain(spec, TaskOutcome.PREEMPTED),
        preempt.task() + " stopped though it can neither resume nor run again");
    if (!preempt.inFavourOf().equals(preempt.task().jobId())) {
      preemptions.merge(preempt.task(), 1, Integer::sum);
    }
  }

  private void checkCapacity() {
    Map<String, Resources> used = new HashMap<>();
    running.forEach(
        (task, worker) -> used.merge(worker, jobs.get(task.jobId()).resources(), Resources::plus));
    used.forEach(
        (worker, sum) ->
            require(
                sum.fitsIn(workers.get(worker).capacity()),
                worker + " committed beyond its capacity: " + sum));
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }
}
