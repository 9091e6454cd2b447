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

/** Follows the decisions of a placer and checks that each is allowed. */
final class PlacerModel {
  /** Placer under test. */
  final Placer placer;

  /** Workers by identifier. */
  final Map<String, WorkerSpec> workers = new LinkedHashMap<>();

  /** Jobs by identifier. */
  final Map<String, JobSpec> jobs = new LinkedHashMap<>();

  /** Worker of each running task. */
  final Map<TaskId, String> running = new LinkedHashMap<>();

  /** Tasks that were told to stop. */
  final Set<TaskId> stopping = new HashSet<>();

  /** Preemptions of each task by other jobs. */
  final Map<TaskId, Integer> preemptions = new HashMap<>();

  /** Workers that take no tasks. */
  final Set<String> closed = new HashSet<>();

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

  /** Lets the placer decide, and checks and applies what it decides. */
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
      long held = running.keySet().stream().filter(t -> t.jobId().equals(entry.getKey())).count();
      JobSpec spec = jobs.get(entry.getKey());
      boolean stoppable = spec.checkpointable() || spec.rerun() == RerunPolicy.RERUN;
      require(
          held == entry.getValue() || !stoppable, "gang " + entry.getKey() + " started in parts");
    }
    checkCapacity();
    return decisions;
  }

  void end(TaskId task, TaskOutcome outcome, long now) {
    running.remove(task);
    stopping.remove(task);
    placer.taskEnded(task, outcome, now);
  }

  /** Ends all tasks that were told to stop. */
  void endStopping(long now) {
    for (TaskId task : List.copyOf(stopping)) {
      end(task, TaskOutcome.PREEMPTED, now);
    }
  }

  List<TaskId> runningTasks() {
    return new ArrayList<>(running.keySet());
  }

  Resources used(String workerId) {
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
    require(!closed.contains(start.workerId()), "start on closed " + start.workerId());
    require(
        spec.constraints().allows(workers.get(start.workerId())),
        start.task() + " on a worker that it does not allow");
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
        preempt.task() + " stopped though it can neither go on nor run again");
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
