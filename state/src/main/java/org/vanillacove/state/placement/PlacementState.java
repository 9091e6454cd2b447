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

/** Workers, jobs, queues and quotas of the cell, and the operations that change several of them. */
final class PlacementState {
  /** A job is ranked later by this many times its typical run time, so shorter jobs may pass it. */
  private static final long RUN_TIME_FACTOR = 16;

  /** Known workers with their committed capacity and indexes. */
  private final WorkerTable workers;

  /** Quotas and usage of the teams. */
  private final FairShares shares = new FairShares();

  /** Jobs with pending tasks that aren't in backoff. */
  private final PendingQueue queue = new PendingQueue();

  /** Estimates of task sizes and run times. */
  private final UsageEstimator estimator = new UsageEstimator();

  /** Failure records of workers and jobs, with quarantines. */
  private final FailureTracker failures = new FailureTracker();

  /** Workers reserved for jobs that found no free capacity. */
  private final Reservations reservations;

  /** Nominations whose tasks are neither started nor cancelled. */
  private final List<Nomination> nominations = new ArrayList<>();

  /** Gang tasks still to be stopped so that the whole gang can restart. */
  private final List<RunningTask> pendingStops = new ArrayList<>();

  /** Jobs with pending or running tasks, by identifier. */
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Jobs in backoff, ordered by its end. */
  private final PriorityQueue<Job> backingOff =
      new PriorityQueue<>(
          Comparator.comparingLong(Job::notBeforeMillis).thenComparingLong(Job::sequence));

  /** Sequence number of the next job to be queued. */
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

  List<RunningTask> pendingStops() {
    return pendingStops;
  }

  Map<String, Job> jobs() {
    return jobs;
  }

  TeamShare team(Job job) {
    return shares.team(job.spec().team());
  }

  /**
   * Returns whether the tasks of a job can't be preempted, so that the team may not borrow capacity
   * for them.
   */
  static boolean isNonPreemptible(JobSpec spec) {
    boolean protectedService =
        spec.kind() == WorkloadKind.SERVICE && spec.priority() != PriorityClass.LOW;
    return protectedService || (spec.rerun() == RerunPolicy.AT_MOST_ONCE && !spec.checkpointable());
  }

  private static boolean isUrgent(Job job) {
    return job.spec().priority() == PriorityClass.URGENT;
  }

  /** Queues a job with pending tasks, now or after its backoff. */
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
    long delay =
        job.spec().priority() == PriorityClass.URGENT || job.spec().kind() == WorkloadKind.SERVICE
            ? 0
            : RUN_TIME_FACTOR * estimator.typicalMillis(job.spec());
    job.setRank(nextSequence++, job.submittedAtMillis() + delay);
    queue.add(job, shapeKeyOf(job), team(job));
  }

  /** Queues the jobs whose backoff has ended. */
  void enqueueAfterBackoff(long nowMillis) {
    while (!backingOff.isEmpty() && backingOff.peek().notBeforeMillis() <= nowMillis) {
      enqueue(backingOff.poll(), nowMillis);
    }
  }

  /** Starts a pending task and commits capacity for it. */
  PlacementDecision start(Job job, int index, WorkerState worker, Resources size, long nowMillis) {
    commit(job, index, worker, size, nowMillis, nowMillis);
    return new PlacementDecision.Start(new TaskId(job.id(), index), worker.id());
  }

  /** Commits capacity of a worker to a task and marks the task as running. */
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
    shares.updateAverageShares(team, nowMillis);
    team.allocate(size, isNonPreemptible(job.spec()), isUrgent(job));
    workers.commit(task);
    job.started(task);
  }

  /** Returns whether this attempt of a task still runs. */
  static boolean isRunning(RunningTask task) {
    return task.job().running(task.id().index()).filter(t -> t == task).isPresent();
  }

  /** Releases the capacity committed to a running task. */
  void release(RunningTask task, long nowMillis) {
    TeamShare team = team(task.job());
    shares.updateAverageShares(team, nowMillis);
    team.deallocate(task.committed(), isNonPreemptible(task.job().spec()), isUrgent(task.job()));
    workers.release(task);
    task.job().ended(task);
    queue.quotaChanged(team);
  }

  /** Returns the decision to stop a running task in favour of a job. */
  PlacementDecision stop(RunningTask victim, Job inFavourOf) {
    victim.setPreempting(true);
    return new PlacementDecision.Preempt(
        victim.id(), victim.worker().id(), victim.job().spec().checkpointable(), inFavourOf.id());
  }

  /** Marks the remaining tasks of a gang to be stopped so that the whole gang can restart. */
  void restartGang(Job gang) {
    gang.setRestarting(true);
    for (RunningTask task : gang.running()) {
      if (!task.isPreempting()) {
        task.setPreempting(true);
        pendingStops.add(task);
      }
    }
  }

  /** Adds a nomination whose capacity is already reserved, and charges the team for it. */
  void addNomination(Nomination nomination) {
    nomination.indexes().forEach(nomination.job()::removePending);
    nominations.add(nomination);
    Resources total = nomination.size().times(nomination.slots().size());
    Job job = nomination.job();
    team(job).allocate(total, isNonPreemptible(job.spec()), isUrgent(job));
  }

  /** Removes a nomination and its reserved capacity, so that its tasks can start or be queued. */
  void removeNomination(Nomination nomination) {
    nominations.remove(nomination);
    Resources total = nomination.size().times(nomination.slots().size());
    Job job = nomination.job();
    team(job).deallocate(total, isNonPreemptible(job.spec()), isUrgent(job));
    nomination.slots().forEach(worker -> workers.unreserve(worker, nomination.size()));
  }

  /** Cancels a nomination and queues its tasks again. */
  void cancelNomination(Nomination nomination, long nowMillis) {
    removeNomination(nomination);
    nomination.slots().forEach(workers::markCapacityGained);
    queue.quotaChanged(team(nomination.job()));
    nomination.indexes().forEach(nomination.job()::addPending);
    enqueue(nomination.job(), nowMillis);
  }

  Optional<Nomination> nomination(Job job) {
    return nominations.isEmpty()
        ? Optional.empty()
        : nominations.stream().filter(n -> n.job() == job).findFirst();
  }

  /** Removes a job without pending, running or nominated tasks. */
  void removeIfFinished(Job job) {
    if (job.isFinished() && nomination(job).isEmpty()) {
      jobs.remove(job.id());
      reservations.of(job).ifPresent(reservations::remove);
    }
  }

  /**
   * Returns the key that decides where the pending tasks of a job fit.
   *
   * <p>Uses the declared size if the corrected one wouldn't fit even on empty workers.
   */
  ShapeKey shapeKeyOf(Job job) {
    JobSpec spec = job.spec();
    boolean gang = spec.kind() == WorkloadKind.GANG && job.running().isEmpty();
    int together = gang ? job.pendingCount() : 1;
    Resources size = estimator.size(spec);
    int concurrentTasks = spec.kind() == WorkloadKind.BATCH ? 1 : spec.taskCount();
    if (!size.equals(spec.resources())
        && !workers.index(spec.constraints()).canFitOnEmptyWorkers(size, concurrentTasks)) {
      size = spec.resources();
    }
    return new ShapeKey(
        size,
        spec.constraints(),
        spec.kind() == WorkloadKind.SERVICE,
        isNonPreemptible(spec),
        SizeLevels.time(estimator.highMillis(spec)),
        together);
  }
}
