package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.WorkloadKind;

/** All that placement decisions rest on, and the steps that change it. */
final class PlacementState {
  /** Times its typical run time that a job may be overtaken by shorter ones after it came. */
  private static final long RUN_TIME_FACTOR = 16;

  /** Workers of the cell. */
  private final WorkerTable workers;

  /** Shares of teams. */
  private final FairShares shares = new FairShares();

  /** Waiting jobs. */
  private final PendingQueue queue = new PendingQueue();

  /** Estimates of sizes and run times. */
  private final UsageEstimator estimator = new UsageEstimator();

  /** Failures of workers and jobs. */
  private final FailureTracker failures = new FailureTracker();

  /** Workers kept free for jobs. */
  private final Reservations reservations;

  /** Room that is being made. */
  private final List<Nomination> nominations = new ArrayList<>();

  /** Gang members to be stopped for a common restart. */
  private final List<RunningTask> stops = new ArrayList<>();

  /** Jobs with tasks that wait or run. */
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Jobs that back off, the one due first at the front. */
  private final PriorityQueue<Job> backingOff =
      new PriorityQueue<>(
          Comparator.comparingLong(Job::notBeforeMillis).thenComparingLong(Job::sequence));

  /** Sequence of the next job to be queued. */
  private long nextSequence;

  PlacementState(WorkerTable workers) {
    this.workers = workers;
    this.reservations = new Reservations(workers);
  }

  WorkerTable workers() {
    return workers;
  }

  FairShares shares() {
    return shares;
  }

  PendingQueue queue() {
    return queue;
  }

  UsageEstimator estimator() {
    return estimator;
  }

  FailureTracker failures() {
    return failures;
  }

  Reservations reservations() {
    return reservations;
  }

  List<Nomination> nominations() {
    return nominations;
  }

  List<RunningTask> stops() {
    return stops;
  }

  Map<String, Job> jobs() {
    return jobs;
  }

  TeamShare team(Job job) {
    return shares.team(job.spec().team());
  }

  /**
   * Returns whether a task cannot be stopped for others, so that its team may not borrow for it.
   */
  static boolean isFirm(JobSpec spec) {
    boolean kept = spec.kind() == WorkloadKind.SERVICE && spec.priority() != PriorityClass.LOW;
    return kept || (spec.rerun() == RerunPolicy.AT_MOST_ONCE && !spec.checkpointable());
  }

  private static boolean isUrgent(Job job) {
    return job.spec().priority() == PriorityClass.URGENT;
  }

  /** Queues the waiting tasks of a job, now or after its backoff. */
  void enqueue(Job job, long nowMillis) {
    if (!job.hasPending() || job.lane().isPresent() || job.isRestarting()) {
      return;
    }
    if (job.notBeforeMillis() > nowMillis) {
      if (!backingOff.contains(job)) {
        backingOff.add(job);
      }
      return;
    }
    long wait =
        job.spec().priority() == PriorityClass.URGENT || job.spec().kind() == WorkloadKind.SERVICE
            ? 0
            : RUN_TIME_FACTOR * estimator.typicalMillis(job.spec());
    job.setRank(nextSequence++, job.submittedAtMillis() + wait);
    queue.add(job, shapeOf(job), team(job));
  }

  /** Queues jobs whose backoff has ended. */
  void endBackoffs(long nowMillis) {
    while (!backingOff.isEmpty() && backingOff.peek().notBeforeMillis() <= nowMillis) {
      enqueue(backingOff.poll(), nowMillis);
    }
  }

  /** Starts a waiting task and commits capacity for it. */
  PlacementDecision start(Job job, int index, WorkerState worker, Resources size, long nowMillis) {
    commit(job, index, worker, size, nowMillis, nowMillis);
    return new PlacementDecision.Start(new TaskId(job.id(), index), worker.id());
  }

  /** Commits capacity to a task. */
  void commit(
      Job job, int index, WorkerState worker, Resources size, long startedAt, long nowMillis) {
    RunningTask task =
        new RunningTask(
            new TaskId(job.id(), index),
            job,
            worker,
            size,
            startedAt,
            estimator.highMillis(job.spec()));
    TeamShare team = team(job);
    shares.count(team, nowMillis);
    team.take(size, isFirm(job.spec()), isUrgent(job));
    workers.commit(task);
    job.started(task);
  }

  /** Returns whether a task still holds its capacity. */
  static boolean isRunning(RunningTask task) {
    return task.job().running(task.id().index()).filter(t -> t == task).isPresent();
  }

  /** Frees what a running task holds. */
  void release(RunningTask task, long nowMillis) {
    TeamShare team = team(task.job());
    shares.count(team, nowMillis);
    team.giveBack(task.committed(), isFirm(task.job().spec()), isUrgent(task.job()));
    workers.release(task);
    task.job().ended(task);
    queue.quotaChanged(team);
  }

  /** Stops a running task in favour of a job. */
  PlacementDecision stop(RunningTask victim, Job inFavourOf) {
    victim.setPreempting(true);
    return new PlacementDecision.Preempt(
        victim.id(), victim.worker().id(), victim.job().spec().checkpointable(), inFavourOf.id());
  }

  /** Stops the rest of a gang that lost a member, so that all start together again. */
  void restartTogether(Job gang) {
    gang.setRestarting(true);
    for (RunningTask task : gang.running()) {
      if (!task.isPreempting()) {
        task.setPreempting(true);
        stops.add(task);
      }
    }
  }

  /** Promises room that is being made and is held already, and charges the team for it. */
  void promise(Nomination nomination) {
    nomination.indexes().forEach(nomination.job()::removePending);
    nominations.add(nomination);
    Resources total = nomination.size().times(nomination.slots().size());
    Job job = nomination.job();
    team(job).take(total, isFirm(job.spec()), isUrgent(job));
  }

  /** Ends a promise, so that its tasks can start or wait again. */
  void redeem(Nomination nomination) {
    nominations.remove(nomination);
    Resources total = nomination.size().times(nomination.slots().size());
    Job job = nomination.job();
    team(job).giveBack(total, isFirm(job.spec()), isUrgent(job));
    nomination.slots().forEach(worker -> workers.unhold(worker, nomination.size()));
  }

  /** Gives up room that is being made, and queues its tasks again. */
  void drop(Nomination nomination, long nowMillis) {
    redeem(nomination);
    nomination.slots().forEach(workers::markGained);
    queue.quotaChanged(team(nomination.job()));
    nomination.indexes().forEach(nomination.job()::addPending);
    enqueue(nomination.job(), nowMillis);
  }

  Optional<Nomination> nomination(Job job) {
    return nominations.isEmpty()
        ? Optional.empty()
        : nominations.stream().filter(n -> n.job() == job).findFirst();
  }

  /** Forgets a job of which nothing waits or runs. */
  void dropIfFinished(Job job) {
    if (job.isFinished() && nomination(job).isEmpty()) {
      jobs.remove(job.id());
      reservations.of(job).ifPresent(reservations::remove);
    }
  }

  /** Returns what decides where the waiting tasks of a job fit. */
  ShapeKey shapeOf(Job job) {
    JobSpec spec = job.spec();
    boolean gang = spec.kind() == WorkloadKind.GANG && job.running().isEmpty();
    int together = gang ? job.pendingCount() : 1;
    Resources size = estimator.size(spec);
    int sideBySide = spec.kind() == WorkloadKind.BATCH ? 1 : spec.taskCount();
    if (!size.equals(spec.resources())
        && !workers.index(spec.constraints()).couldHold(size, sideBySide)) {
      size = spec.resources();
    }
    return new ShapeKey(
        size,
        spec.constraints(),
        spec.kind() == WorkloadKind.SERVICE,
        isFirm(spec),
        SizeLevels.time(estimator.highMillis(spec)),
        together);
  }
}
