package org.vanillacove.coordination.scheduling;

import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.cell.JobState;

/** State shared by the classes of one leadership term; used on the scheduler's shard only. */
final class TermState {
  /** Services and settings used by the leader. */
  private final LeaderContext context;

  /** Executor on which all code of the term runs. */
  private final SerialExecutor shard;

  /** Leadership epoch of the term. */
  private final long epoch;

  /** Log offset of the leadership claim that began the term. */
  private final long claimOffset;

  /** Chooses the workers on which tasks run. */
  private final Placer placer;

  /** Tasks that run or whose newest changes are not yet in the cell state. */
  private final TaskTable taskTable;

  /** Whether the term has ended. */
  private boolean ended;

  TermState(LeaderContext context, SerialExecutor shard, long epoch, long claimOffset) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.claimOffset = claimOffset;
    this.placer = context.placers().get();
    this.taskTable = new TaskTable(context.store());
  }

  LeaderContext context() {
    return context;
  }

  SerialExecutor shard() {
    return shard;
  }

  long epoch() {
    return epoch;
  }

  long claimOffset() {
    return claimOffset;
  }

  Placer placer() {
    return placer;
  }

  TaskTable taskTable() {
    return taskTable;
  }

  boolean hasEnded() {
    return ended;
  }

  void end() {
    ended = true;
  }

  /** Returns whether the host lease has not expired, so that this host may still lead. */
  boolean hasHostLease() {
    return context.hostLease().remainingMillis() > 0;
  }

  /** Returns whether a job was cancelled or is unknown. */
  boolean isCancelled(String jobId) {
    return context.store().read(state -> state.job(jobId)).map(JobState::isCancelled).orElse(true);
  }

  /** Notifies the placer that an attempt has ended. */
  void reportTaskEnd(TaskId task, TaskOutcome outcome) {
    placer.taskEnded(task, outcome, now());
  }

  long now() {
    return context.timer().monotonicMillis();
  }
}
