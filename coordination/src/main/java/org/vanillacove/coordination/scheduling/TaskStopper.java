package org.vanillacove.coordination.scheduling;

import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/** Tells workers to stop attempts. */
final class TaskStopper {
  /** What the parts of the term share. */
  private final TermState term;

  /** Contact with workers. */
  private final WorkerWatcher watcher;

  /** Takes replies. */
  private final ReplyHandler replies;

  TaskStopper(TermState term, WorkerWatcher watcher, ReplyHandler replies) {
    this.term = term;
    this.watcher = watcher;
    this.replies = replies;
  }

  /** Takes replies to stops that took effect. */
  @FunctionalInterface
  interface ReplyHandler {
    /** Handles the reply to a stop that was sent at a monotonic time in milliseconds. */
    void handle(String workerId, TaskId task, int attempt, WorkerReply.Done reply, long sentMillis);
  }

  /** Stops the present attempt of a task, now or once it runs. */
  void stop(TaskEntry entry, TaskOutcome outcome, boolean checkpoint) {
    entry.wantStop(outcome, checkpoint);
    if (entry.phase() == TaskEntry.Phase.RUNNING) {
      send(entry.workerId(), entry.id(), entry.attempt(), checkpoint);
    }
  }

  /** Stops attempts once more whose stop is wanted and which still run. */
  void repeat() {
    for (TaskEntry entry : term.ledger().all()) {
      if (entry.phase() == TaskEntry.Phase.RUNNING && entry.stopOutcome().isPresent()) {
        send(entry.workerId(), entry.id(), entry.attempt(), entry.isCheckpoint());
      }
    }
  }

  /** Sends a stop to a worker that can be used. */
  void send(String workerId, TaskId id, int attempt, boolean checkpoint) {
    if (!watcher.isUsable(workerId) || !term.hasStanding()) {
      return;
    }
    long sent = term.now();
    WorkerCommand.Stop command = new WorkerCommand.Stop(term.epoch(), id, attempt, checkpoint);
    term.context()
        .gateway()
        .send(watcher.specOf(workerId), command)
        .thenAccept(
            reply -> term.shard().execute(() -> replied(workerId, id, attempt, reply, sent)));
  }

  private void replied(String workerId, TaskId id, int attempt, WorkerReply reply, long sent) {
    if (reply instanceof WorkerReply.Done done && !term.isOver()) {
      replies.handle(workerId, id, attempt, done, sent);
    }
  }
}
