package org.vanillacove.state.placement;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.RerunPolicy;

/** A submitted job with the placement state of its tasks. */
final class Job {
  /** Identifier of the job, unique in the cell. */
  private final String id;

  /** Specification as submitted. */
  private final JobSpec spec;

  /** Time of submission in milliseconds. */
  private final long submittedAtMillis;

  /** Indexes of the tasks that wait to be started. */
  private final BitSet pending = new BitSet();

  /** Tasks that have capacity committed on a worker, by index. */
  private final Map<Integer, RunningTask> running = new HashMap<>(2);

  /** Number of preemptions by task index; tasks never preempted are absent. */
  private final Map<Integer, Integer> preemptions = new HashMap<>(0);

  /** Identifiers of the workers on which attempts failed or never ran since the last success. */
  private final Set<String> failedWorkers = new LinkedHashSet<>(0);

  /** Sequence number of the last queueing; breaks ties between equal ranks. */
  private long sequence;

  /** Queue rank as a time in milliseconds; the lowest is placed first. */
  private long rankMillis;

  /** Lane that the job is queued in, null if it is in none. */
  private Lane lane;

  /** Number of failed attempts since the last success. */
  private int failures;

  /** End of the backoff in milliseconds; no task starts before. */
  private long notBeforeMillis;

  /** Whether the remaining tasks of a gang are being stopped to restart the whole gang. */
  private boolean restarting;

  /** Whether the job was cancelled; its pending tasks then no longer count. */
  private boolean cancelled;

  Job(String id, JobSpec spec, long submittedAtMillis) {
    this.id = id;
    this.spec = spec;
    this.submittedAtMillis = submittedAtMillis;
    pending.set(0, spec.taskCount());
  }

  String id() {
    return id;
  }

  JobSpec spec() {
    return spec;
  }

  long submittedAtMillis() {
    return submittedAtMillis;
  }

  long sequence() {
    return sequence;
  }

  long rankMillis() {
    return rankMillis;
  }

  void setRank(long sequence, long rankMillis) {
    this.sequence = sequence;
    this.rankMillis = rankMillis;
  }

  int compareRank(Job other) {
    int order = Long.compare(rankMillis, other.rankMillis);
    return order != 0 ? order : Long.compare(sequence, other.sequence);
  }

  boolean isIn(Lane candidate) {
    return lane == candidate;
  }

  Optional<Lane> lane() {
    return Optional.ofNullable(lane);
  }

  void enterLane(Lane entered) {
    lane = entered;
  }

  void leaveLane() {
    lane = null;
  }

  boolean hasPending() {
    return !cancelled && !pending.isEmpty();
  }

  int pendingCount() {
    return cancelled ? 0 : pending.cardinality();
  }

  /** Returns the lowest pending index, or a negative number if no task is pending. */
  int firstPending() {
    return pending.nextSetBit(0);
  }

  /** Returns the lowest pending index not below {@code from}, or a negative number. */
  int nextPending(int from) {
    return pending.nextSetBit(from);
  }

  void addPending(int index) {
    pending.set(index);
  }

  void removePending(int index) {
    pending.clear(index);
  }

  Optional<RunningTask> running(int index) {
    return Optional.ofNullable(running.get(index));
  }

  Collection<RunningTask> running() {
    return running.values();
  }

  /** Moves a task from pending to running. */
  void started(RunningTask task) {
    pending.clear(task.id().index());
    running.put(task.id().index(), task);
  }

  /** Removes a running task without making it pending again. */
  void ended(RunningTask task) {
    running.remove(task.id().index());
  }

  int preemptions(int index) {
    return preemptions.getOrDefault(index, 0);
  }

  void countPreemption(int index) {
    preemptions.merge(index, 1, Integer::sum);
  }

  /** Returns whether a stopped task can run again, from a checkpoint or from the start. */
  boolean isRestartable() {
    return spec.checkpointable() || spec.rerun() == RerunPolicy.RERUN;
  }

  Set<String> failedWorkers() {
    return failedWorkers;
  }

  int failures() {
    return failures;
  }

  long notBeforeMillis() {
    return notBeforeMillis;
  }

  /** Records a failed attempt on a worker. */
  void addFailure(String workerId) {
    failures++;
    failedWorkers.add(workerId);
  }

  /** Sets the end of the backoff, before which no task starts. */
  void setNotBefore(long millis) {
    notBeforeMillis = millis;
  }

  /** Lets further attempts avoid a worker on which one never ran; doesn't count as a failure. */
  void addFailedWorker(String workerId) {
    failedWorkers.add(workerId);
  }

  /** Clears all recorded failures after a success. */
  void clearFailures() {
    failures = 0;
    failedWorkers.clear();
  }

  boolean isRestarting() {
    return restarting;
  }

  void setRestarting(boolean restarting) {
    this.restarting = restarting;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void markCancelled() {
    cancelled = true;
  }

  /** Returns whether no task runs and none is pending, or all pending ones are cancelled. */
  boolean isFinished() {
    return running.isEmpty() && (cancelled || pending.isEmpty());
  }
}
