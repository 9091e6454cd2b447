package org.vanillacove.state.placement;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.JobSpec;

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

  boolean isPending(int index) {
    return pending.get(index);
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
