package org.vanillacove.coordination.scheduling;

import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/** Sends stop commands to workers and repeats them until the attempt has ended. */
final class TaskStopper {
  /** State shared by the classes of the term. */
  private final TermState term;

  /** Knows which workers may receive commands. */
  private final WorkerMonitor workerMonitor;

  /** Receives replies to commands that took effect. */
  private final ReplyHandler replyHandler;

  TaskStopper(TermState term, WorkerMonitor workerMonitor, ReplyHandler replyHandler) {
    this.term = term;
    this.workerMonitor = workerMonitor;
    this.replyHandler = replyHandler;
  }

  /** Receives replies to stop commands that took effect. */
  @FunctionalInterface
  interface ReplyHandler {
    /** Handles the reply to a stop that was sent at monotonic time {@code sentMillis}. */
    void handle(String workerId, TaskId task, int attempt, WorkerReply.Done reply, long sentMillis);
  }

  /** Stops the current attempt of a task, now or once it runs. */
  void stop(TaskEntry entry, TaskOutcome outcome, boolean checkpoint) {
    entry.requestStop(outcome, checkpoint);
    if (entry.phase() == TaskEntry.Phase.RUNNING) {
      sendStop(entry.workerId(), entry.id(), entry.attempt(), checkpoint);
    }
  }

  /** Repeats the stop commands of attempts that still run. */
  void resendStops() {
    for (TaskEntry entry : term.taskTable().all()) {
      if (entry.phase() == TaskEntry.Phase.RUNNING && entry.stopOutcome().isPresent()) {
        sendStop(entry.workerId(), entry.id(), entry.attempt(), entry.isCheckpointOnStop());
      }
    }
  }

  /** Sends a stop command if the worker is usable and the host lease is valid. */
  void sendStop(String workerId, TaskId id, int attempt, boolean checkpoint) {
    if (!workerMonitor.isUsable(workerId) || !term.hasHostLease()) {
      return;
    }
    long sentAtMillis = term.now();
    WorkerCommand.Stop command = new WorkerCommand.Stop(term.epoch(), id, attempt, checkpoint);
    term.context()
        .gateway()
        .send(workerMonitor.specOf(workerId), command)
        .thenAccept(
            reply ->
                term.shard()
                    .execute(() -> handleStopReply(workerId, id, attempt, reply, sentAtMillis)));
  }

  private void handleStopReply(
      String workerId, TaskId id, int attempt, WorkerReply reply, long sentAtMillis) {
    if (reply instanceof WorkerReply.Done done && !term.hasEnded()) {
      replyHandler.handle(workerId, id, attempt, done, sentAtMillis);
    }
  }
}
