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

/** A job with the state of its tasks. */
final class Job {
  /** Identifier of the job. */
  private final String id;

  /** What was declared. */
  private final JobSpec spec;

  /** Time of submission in milliseconds. */
  private final long submittedAtMillis;

  /** Tasks that wait for a start. */
  private final BitSet pending = new BitSet();

  /** Tasks that hold capacity, by index. */
  private final Map<Integer, RunningTask> running = new HashMap<>(2);

  /** Times a task was preempted, by index. */
  private final Map<Integer, Integer> preemptions = new HashMap<>(0);

  /** Workers on which tasks failed since the last success. */
  private final Set<String> failedWorkers = new LinkedHashSet<>(0);

  /** Order of arrival. */
  private long sequence;

  /** Place in the queue as a time in milliseconds; the earliest goes first. */
  private long rankMillis;

  /** Lane it waits in, null if in none. */
  private Lane lane;

  /** Failures since the last success. */
  private int failures;

  /** Time before which no task starts, in milliseconds. */
  private long notBeforeMillis;

  /** Whether the rest of a gang is being stopped for a common restart. */
  private boolean restarting;

  /** Whether the job was cancelled. */
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

  /** Returns the lowest waiting index, or a negative number if no task waits. */
  int firstPending() {
    return pending.nextSetBit(0);
  }

  /** Returns the lowest waiting index from {@code from} on, or a negative number. */
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

  /** Moves a task from waiting to running. */
  void started(RunningTask task) {
    pending.clear(task.id().index());
    running.put(task.id().index(), task);
  }

  /** Forgets a running task. */
  void ended(RunningTask task) {
    running.remove(task.id().index());
  }

  int preemptions(int index) {
    return preemptions.getOrDefault(index, 0);
  }

  void countPreemption(int index) {
    preemptions.merge(index, 1, Integer::sum);
  }

  /** Returns whether a running task may be stopped and go on later. */
  boolean isStoppable() {
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

  /** Takes note of a failure on a worker. */
  void countFailure(String workerId) {
    failures++;
    failedWorkers.add(workerId);
  }

  /** Lets no task start before a time. */
  void delayUntil(long millis) {
    notBeforeMillis = millis;
  }

  /** Takes note that an attempt never took effect on a worker. */
  void avoid(String workerId) {
    failedWorkers.add(workerId);
  }

  /** Forgets failures after a success. */
  void succeeded() {
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

  /** Returns whether nothing of the job waits or runs. */
  boolean isFinished() {
    return running.isEmpty() && (cancelled || pending.isEmpty());
  }
}
