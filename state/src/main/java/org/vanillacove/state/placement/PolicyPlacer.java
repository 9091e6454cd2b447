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
 * Places services, batch work and gangs under their own policies.
 *
 * <p>Urgent work goes first and may stop others; within a class teams go by quota and fair share,
 * and jobs of a team by their rank. A gang is returned whole: a round that has decided nothing yet
 * starts it even if it has more tasks than the limit. Workers must be added and jobs submitted
 * before their tasks are restored.
 */
public final class PolicyPlacer implements Placer {
  /** What is known. */
  private final PlacementState state;

  /** Chooses workers with room. */
  private final WorkerChooser chooser;

  /** Makes room by stopping tasks. */
  private final RoomMaker roomMaker;

  /** Periodic work. */
  private final Upkeep upkeep;

  /** Explains waits. */
  private final WaitExplainer explainer;

  /** Creates a placer that knows no workers and no jobs. */
  public PolicyPlacer() {
    this(FreeIndex::new);
  }

  private PolicyPlacer(Function<PlacementConstraints, FreeIndex> newIndex) {
    state = new PlacementState(new WorkerTable(newIndex));
    chooser = new WorkerChooser(state.workers(), state.reservations(), state.estimator());
    roomMaker = new RoomMaker(state);
    upkeep = new Upkeep(state, roomMaker);
    explainer = new WaitExplainer(state);
  }

  /** Returns a baseline that follows the same policy and finds room by a scan of all workers. */
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
    state.nomination(job).ifPresent(n -> state.drop(n, n.decidedAtMillis()));
    state.dropIfFinished(job);
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
    boolean again = RerunRule.runsAgain(job.spec(), outcome) && !job.isCancelled();
    Optional<RunningTask> running = job.running(task.index());
    if (running.isPresent()) {
      learn(running.get(), outcome, nowMillis);
      state.release(running.get(), nowMillis);
      if (again) {
        job.addPending(task.index());
      }
    } else if (!again) {
      endWaiting(job, task.index(), nowMillis);
    }
    queueAgain(job, again, nowMillis);
    state.dropIfFinished(job);
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
                state.workers().markGained(running.worker());
              }
            });
  }

  @Override
  public List<PlacementDecision> decide(long nowMillis, int limit) {
    state.shares().setCapacity(state.workers().capacity());
    for (WorkerState worker : state.failures().release(nowMillis)) {
      state.workers().changed(worker);
      state.workers().markGained(worker);
    }
    state.endBackoffs(nowMillis);
    List<PlacementDecision> decisions =
        new DecisionRound(state, chooser, roomMaker, nowMillis, limit).run();
    upkeep.run(nowMillis, limit, decisions);
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
  public void trust(String workerId) {
    Optional<WorkerState> worker = state.workers().get(workerId);
    worker.ifPresent(state.failures()::trust);
    worker.ifPresent(state.workers()::changed);
    worker.ifPresent(state.workers()::markGained);
  }

  /** Returns the workers that take no tasks because unlike tasks failed there. */
  public List<String> quarantinedWorkers() {
    return state.failures().quarantined().stream().map(WorkerState::id).toList();
  }

  private Admission checkQuota(JobSpec spec) {
    if (!PlacementState.isFirm(spec)) {
      return new Admission.Admitted();
    }
    int sideBySide = spec.kind() == WorkloadKind.BATCH ? 1 : spec.taskCount();
    Resources total = spec.resources().times(sideBySide);
    Optional<Resources> quota = state.shares().team(spec.team()).quota();
    if (quota.isEmpty() || total.fitsIn(quota.get())) {
      return new Admission.Admitted();
    }
    return new Admission.NeverFits(
        "quota of team " + spec.team() + ": " + FeasibilityCheck.excess(total, quota.get()),
        FeasibilityCheck.describe(quota.get()) + " in all, or tasks that can be stopped");
  }

  private void learn(RunningTask task, TaskOutcome outcome, long nowMillis) {
    WorkerState worker = task.worker();
    int count = state.workers().all().size();
    switch (outcome) {
      case SUCCEEDED -> {
        state.estimator().ended(task, nowMillis - task.startedAtMillis());
        state.failures().succeeded(worker, task.job());
      }
      case FAILED -> state.failures().failed(worker, task.job(), nowMillis, count);
      case NOT_RUN -> state.failures().notRun(worker, task.job(), nowMillis, count);
      default -> {}
    }
  }

  private void endWaiting(Job job, int index, long nowMillis) {
    state.nomination(job).ifPresent(n -> state.drop(n, nowMillis));
    job.removePending(index);
  }

  private void queueAgain(Job job, boolean again, long nowMillis) {
    if (job.isRestarting() && job.running().isEmpty()) {
      job.setRestarting(false);
    } else if (again
        && job.spec().kind() == WorkloadKind.GANG
        && !job.running().isEmpty()
        && job.isStoppable()
        && !job.isRestarting()) {
      state.restartTogether(job);
    }
    state.enqueue(job, nowMillis);
  }
}
