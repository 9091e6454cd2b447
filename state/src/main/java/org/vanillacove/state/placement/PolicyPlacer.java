package org.vanillacove.state.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
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
import org.vanillacove.state.api.WorkerHealth;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Places services, batch jobs and gangs, each kind under its own policy.
 *
 * <p>Urgent jobs are placed first and may preempt others. Within a priority class, teams are
 * ordered by quota and fair share, and the jobs of a team by rank. A gang is always started whole:
 * a round without a decision so far starts it even if it has more tasks than the limit. Before a
 * task is restored, its worker must have been added and its job submitted.
 */
public final class PolicyPlacer implements Placer {
  /** State shared by the parts of the placer. */
  private final PlacementState state;

  /** Chooses workers with enough free capacity. */
  private final WorkerChooser chooser;

  /** Frees capacity by stopping tasks. */
  private final Preemptor preemptor;

  /** Periodic maintenance, run after each round of decisions when it is due. */
  private final PlacementMaintenance maintenance;

  /** Explains why jobs wait. */
  private final WaitExplainer explainer;

  /** Creates a placer without workers and jobs. */
  public PolicyPlacer() {
    this(FreeCapacityIndex::new);
  }

  private PolicyPlacer(Function<PlacementConstraints, FreeCapacityIndex> newIndex) {
    state = new PlacementState(new WorkerTable(newIndex));
    chooser = new WorkerChooser(state.workers(), state.reservations(), state.estimator());
    preemptor = new Preemptor(state);
    maintenance = new PlacementMaintenance(state, preemptor);
    explainer = new WaitExplainer(state);
  }

  /** Returns a baseline with the same policy that scans all workers instead of using an index. */
  public static PolicyPlacer scanning() {
    return new PolicyPlacer(ScanIndex::new);
  }

  @Override
  public void addWorker(WorkerSpec worker) {
    state.workers().add(worker);
  }

  @Override
  public void setWorkerStatus(String workerId, WorkerStatus status) {
    state.workers().get(workerId).ifPresent(w -> state.workers().setStatus(w, status));
  }

  @Override
  public void configure(PlacementSettings settings) {
    state.shares().configure(settings);
    state.shares().teams().forEach(state.queue()::quotaChanged);
  }

  @Override
  public Admission check(JobSpec spec) {
    Admission admission = FeasibilityCheck.check(spec, state.workers().usableSpecs());
    return admission instanceof Admission.Admitted ? checkQuota(spec) : admission;
  }

  @Override
  public void submit(String jobId, JobSpec spec, long nowMillis) {
    if (!state.jobs().containsKey(jobId) && spec.taskCount() > 0) {
      Job job = new Job(jobId, spec, nowMillis);
      state.jobs().put(jobId, job);
      state.enqueue(job, nowMillis);
    }
  }

  @Override
  public void cancel(String jobId) {
    Job job = state.jobs().get(jobId);
    if (job == null) {
      return;
    }
    job.markCancelled();
    state.reservations().of(job).ifPresent(state.reservations()::remove);
    state.nomination(job).ifPresent(n -> state.cancelNomination(n, n.decidedAtMillis()));
    state.removeIfFinished(job);
  }

  @Override
  public void restore(TaskId task, String workerId, long startedAtMillis) {
    Job job = state.jobs().get(task.jobId());
    if (job != null && job.running(task.index()).isEmpty()) {
      WorkerState worker =
          state.workers().get(workerId).orElseGet(() -> WorkerState.unknown(workerId));
      Resources size = job.spec().resources();
      state.commit(job, task.index(), worker, size, startedAtMillis, startedAtMillis);
    }
  }

  @Override
  public void taskEnded(TaskId task, TaskOutcome outcome, long nowMillis) {
    Job job = state.jobs().get(task.jobId());
    if (job == null) {
      return;
    }
    boolean willRerun = RerunRule.runsAgain(job.spec(), outcome) && !job.isCancelled();
    Optional<RunningTask> running = job.running(task.index());
    if (running.isPresent()) {
      recordOutcome(running.get(), outcome, nowMillis);
      state.release(running.get(), nowMillis);
      if (willRerun) {
        job.addPending(task.index());
      }
    } else if (!willRerun) {
      removeWaiting(job, task.index(), nowMillis);
    }
    requeue(job, willRerun, nowMillis);
    state.removeIfFinished(job);
  }

  @Override
  public void observeUsage(TaskId task, Resources used, long nowMillis) {
    Job job = state.jobs().get(task.jobId());
    if (job == null) {
      return;
    }
    job.running(task.index())
        .ifPresent(
            running -> {
              Resources before = running.overuse();
              running.observe(used);
              if (!before.equals(running.overuse())) {
                running.worker().changeOveruse(before, running.overuse());
                state.workers().changed(running.worker());
                state.workers().markCapacityGained(running.worker());
              }
            });
  }

  @Override
  public List<PlacementDecision> decide(long nowMillis, int limit) {
    state.shares().setCapacity(state.workers().capacity());
    for (WorkerState worker : state.failures().endQuarantines(nowMillis)) {
      state.workers().changed(worker);
      state.workers().markCapacityGained(worker);
    }
    state.enqueueAfterBackoff(nowMillis);
    List<PlacementDecision> decisions =
        new DecisionRound(state, chooser, preemptor, nowMillis, limit).run();
    maintenance.run(nowMillis, limit, decisions);
    return decisions;
  }

  @Override
  public Optional<WaitReason> explain(String jobId, long nowMillis) {
    return explainer.explain(jobId, nowMillis);
  }

  @Override
  public List<WorkerHealth> unhealthyWorkers() {
    return state.workers().all().stream()
        .flatMap(worker -> state.failures().healthOf(worker).stream())
        .toList();
  }

  @Override
  public void restoreHealth(WorkerHealth health, long nowMillis) {
    Optional<WorkerState> worker = state.workers().get(health.workerId());
    worker.ifPresent(w -> state.failures().restore(w, health, nowMillis));
    worker.ifPresent(state.workers()::changed);
  }

  @Override
  public void clearFailures(String workerId) {
    Optional<WorkerState> worker = state.workers().get(workerId);
    worker.ifPresent(state.failures()::trust);
    worker.ifPresent(state.workers()::changed);
    worker.ifPresent(state.workers()::markCapacityGained);
  }

  /** Returns the identifiers of the workers that are quarantined after failures. */
  public List<String> quarantinedWorkers() {
    return state.failures().quarantined().stream().map(WorkerState::id).toList();
  }

  private Admission checkQuota(JobSpec spec) {
    if (!PlacementState.isNonPreemptible(spec)) {
      return new Admission.Admitted();
    }
    int concurrentTasks = spec.kind() == WorkloadKind.BATCH ? 1 : spec.taskCount();
    Resources total = spec.resources().times(concurrentTasks);
    Optional<Resources> quota = state.shares().team(spec.team()).quota();
    if (quota.isEmpty() || total.fitsIn(quota.get())) {
      return new Admission.Admitted();
    }
    return new Admission.NeverFits(
        "quota of team " + spec.team() + ": " + FeasibilityCheck.excess(total, quota.get()),
        FeasibilityCheck.describe(quota.get()) + " in total, or preemptible tasks");
  }

  private void recordOutcome(RunningTask task, TaskOutcome outcome, long nowMillis) {
    WorkerState worker = task.worker();
    int count = state.workers().all().size();
    switch (outcome) {
      case SUCCEEDED -> {
        state.estimator().recordRun(task, nowMillis - task.startedAtMillis());
        state.failures().recordSuccess(worker, task.job());
      }
      case FAILED -> state.failures().recordFailure(worker, task.job(), nowMillis, count);
      case NOT_RUN -> state.failures().recordNotRun(worker, task.job(), nowMillis, count);
      default -> {}
    }
  }

  private void removeWaiting(Job job, int index, long nowMillis) {
    state.nomination(job).ifPresent(n -> state.cancelNomination(n, nowMillis));
    job.removePending(index);
  }

  private void requeue(Job job, boolean willRerun, long nowMillis) {
    if (job.isRestarting() && job.running().isEmpty()) {
      job.setRestarting(false);
    } else if (willRerun
        && job.spec().kind() == WorkloadKind.GANG
        && !job.running().isEmpty()
        && job.isRestartable()
        && !job.isRestarting()) {
      state.restartGang(job);
    }
    state.enqueue(job, nowMillis);
  }
}
