package org.vanillacove.coordination.scheduling;

import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.cell.JobState;

/** What the parts of one term share; used on the scheduler's shard only. */
final class TermState {
  /** Parts that the work rests on. */
  private final LeaderContext context;

  /** Serialises the term. */
  private final EventShard shard;

  /** Epoch of the term. */
  private final long epoch;

  /** Offset of the claim. */
  private final long claimOffset;

  /** Decides where tasks run. */
  private final Placer placer;

  /** Tasks that run or are under way. */
  private final TaskLedger ledger;

  /** Whether the term has ended. */
  private boolean over;

  TermState(LeaderContext context, EventShard shard, long epoch, long claimOffset) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.claimOffset = claimOffset;
    this.placer = context.placers().get();
    this.ledger = new TaskLedger(context.store());
  }

  LeaderContext context() {
    return context;
  }

  EventShard shard() {
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

  TaskLedger ledger() {
    return ledger;
  }

  boolean isOver() {
    return over;
  }

  void end() {
    over = true;
  }

  /** Returns whether this host may lead on now. */
  boolean hasStanding() {
    return context.standing().remainingMillis() > 0;
  }

  /** Returns whether a job was cancelled or is not known. */
  boolean isCancelled(String jobId) {
    return context.store().read(state -> state.job(jobId)).map(JobState::isCancelled).orElse(true);
  }

  /** Tells the placer that an attempt ended. */
  void release(TaskId task, TaskOutcome outcome) {
    placer.taskEnded(task, outcome, now());
  }

  long now() {
    return context.timer().monotonicMillis();
  }
}
