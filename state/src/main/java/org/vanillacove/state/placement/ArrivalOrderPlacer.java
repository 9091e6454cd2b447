package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.vanillacove.state.api.Admission;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WaitReason;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Baseline placer that scans all workers for each job, in order of arrival.
 *
 * <p>A job that doesn't fit is skipped. Quotas, priorities and observed usage are ignored.
 */
abstract class ArrivalOrderPlacer implements Placer {
  /** Known workers by identifier, in order of arrival. */
  private final Map<String, WorkerState> workers = new LinkedHashMap<>();

  /** Jobs with pending or running tasks, by identifier, in order of arrival. */
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Jobs with pending tasks by their sequence number. */
  private final TreeMap<Long, Job> waiting = new TreeMap<>();

  /** Keys that no worker could hold; cleared whenever capacity is freed or a worker changes. */
  private final Set<FitKey> unplaceable = new HashSet<>();

  /** Sequence number of the next job. */
  private long nextSequence;

  /** Number of the next worker. */
  private int nextNumber;

  /** Size, constraints and gang size, which together decide whether a job fits. */
  private record FitKey(Resources size, PlacementConstraints constraints, int gangSize) {}

  @Override
  public final void addWorker(WorkerSpec worker) {
    unplaceable.clear();
    WorkerState known = workers.get(worker.id());
    if (known == null) {
      workers.put(worker.id(), new WorkerState(nextNumber++, worker));
    } else {
      known.updateSpec(worker);
    }
  }

  @Override
  public final void setWorkerStatus(String workerId, WorkerStatus status) {
    WorkerState worker = workers.get(workerId);
    if (worker != null) {
      worker.setStatus(status);
      unplaceable.clear();
      removeIfLost(worker);
    }
  }

  @Override
  public void configure(PlacementSettings settings) {}

  @Override
  public final Admission check(JobSpec spec) {
    List<WorkerSpec> usable =
        workers.values().stream()
            .filter(w -> w.isActive() || w.status() == WorkerStatus.QUARANTINED)
            .map(WorkerState::spec)
            .toList();
    return FeasibilityCheck.check(spec, usable);
  }

  @Override
  public final void submit(String jobId, JobSpec spec, long nowMillis) {
    Job job = new Job(jobId, spec, nowMillis);
    if (jobs.putIfAbsent(jobId, job) == null) {
      job.setRank(nextSequence++, nowMillis);
      waiting.put(job.sequence(), job);
    }
  }

  @Override
  public final void cancel(String jobId) {
    Job job = jobs.get(jobId);
    if (job != null) {
      job.markCancelled();
      waiting.remove(job.sequence());
      removeIfFinished(job);
    }
  }

  @Override
  public final void restore(TaskId task, String workerId, long startedAtMillis) {
    Job job = jobs.get(task.jobId());
    if (job != null && job.running(task.index()).isEmpty()) {
      WorkerState worker = workers.get(workerId);
      boolean known = worker != null;
      start(job, task.index(), known ? worker : WorkerState.unknown(workerId), startedAtMillis);
    }
  }

  @Override
  public final void taskEnded(TaskId task, TaskOutcome outcome, long nowMillis) {
    Job job = jobs.get(task.jobId());
    if (job == null) {
      return;
    }
    Optional<RunningTask> running = job.running(task.index());
    running.ifPresent(this::release);
    boolean again = RerunRule.runsAgain(job.spec(), outcome);
    if (!again) {
      job.removePending(task.index());
    } else if (running.isPresent()) {
      job.addPending(task.index());
      if (job.hasPending()) {
        waiting.put(job.sequence(), job);
      }
    }
    removeIfFinished(job);
  }

  @Override
  public void observeUsage(TaskId task, Resources used, long nowMillis) {}

  @Override
  public final List<PlacementDecision> decide(long nowMillis, int limit) {
    List<PlacementDecision> decisions = new ArrayList<>();
    for (Job job : List.copyOf(waiting.values())) {
      if (decisions.size() >= limit) {
        break;
      }
      boolean gang = job.spec().kind() == WorkloadKind.GANG;
      int together = gang ? job.pendingCount() : 1;
      FitKey key = new FitKey(job.spec().resources(), job.spec().constraints(), together);
      if (!unplaceable.contains(key)) {
        if (gang) {
          startGang(job, nowMillis, decisions);
        } else {
          startTasks(job, nowMillis, limit - decisions.size(), decisions);
        }
        if (job.hasPending() && decisions.size() < limit) {
          unplaceable.add(key);
        }
      }
      if (!job.hasPending()) {
        waiting.remove(job.sequence());
      }
    }
    return decisions;
  }

  @Override
  public final Optional<WaitReason> explain(String jobId, long nowMillis) {
    Job job = jobs.get(jobId);
    if (job == null || !job.hasPending()) {
      return Optional.empty();
    }
    return Optional.of(
        new WaitReason(
            "no allowed worker has " + FeasibilityCheck.describe(job.spec().resources()) + " free",
            "the end of running tasks, or an additional worker"));
  }

  /** Chooses one of the workers for a task, empty if none has enough free capacity. */
  abstract Optional<WorkerState> choose(JobSpec spec, Collection<WorkerState> candidates);

  private void startTasks(
      Job job, long nowMillis, int maxStarts, List<PlacementDecision> decisions) {
    int remaining = maxStarts;
    for (int i = job.firstPending(); i >= 0 && remaining > 0; i = job.nextPending(i + 1)) {
      Optional<WorkerState> worker = choose(job.spec(), workers.values());
      if (worker.isEmpty()) {
        return;
      }
      decisions.add(start(job, i, worker.get(), nowMillis));
      remaining--;
    }
  }

  private void startGang(Job job, long nowMillis, List<PlacementDecision> decisions) {
    List<PlacementDecision> starts = new ArrayList<>();
    List<RunningTask> started = new ArrayList<>();
    for (int i = job.firstPending(); i >= 0; i = job.nextPending(i + 1)) {
      Optional<WorkerState> worker = choose(job.spec(), workers.values());
      if (worker.isEmpty()) {
        for (RunningTask task : started) {
          task.worker().release(task);
          job.ended(task);
          job.addPending(task.id().index());
        }
        return;
      }
      starts.add(start(job, i, worker.get(), nowMillis));
      started.add(job.running(i).orElseThrow());
    }
    decisions.addAll(starts);
  }

  private PlacementDecision start(Job job, int index, WorkerState worker, long nowMillis) {
    TaskId id = new TaskId(job.id(), index);
    RunningTask task = new RunningTask(id, job, worker, job.spec().resources(), nowMillis, 0);
    worker.commit(task);
    job.started(task);
    return new PlacementDecision.Start(id, worker.id());
  }

  private void release(RunningTask task) {
    unplaceable.clear();
    task.worker().release(task);
    task.job().ended(task);
    removeIfLost(task.worker());
  }

  private void removeIfLost(WorkerState worker) {
    if (worker.status() == WorkerStatus.LOST && worker.running().isEmpty()) {
      workers.remove(worker.id(), worker);
    }
  }

  private void removeIfFinished(Job job) {
    if (job.isFinished()) {
      jobs.remove(job.id());
    }
  }
}
