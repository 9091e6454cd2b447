package org.vanillacove.coordination.scheduling;

import java.util.List;
import java.util.Optional;
import org.vanillacove.protocol.generated.AttemptMessage;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/** Compares the attempts reported by workers and session holders with those that should run. */
final class InventoryReconciler {
  /** State shared by the classes of the term. */
  private final TermState term;

  /** Writes the ends of tasks to the log. */
  private final TaskRecorder recorder;

  /** Sends stop commands. */
  private final TaskStopper stopper;

  /** Takes over attempts started by a former leader. */
  private final TaskStarter starter;

  InventoryReconciler(
      TermState term, TaskRecorder recorder, TaskStopper stopper, TaskStarter starter) {
    this.term = term;
    this.recorder = recorder;
    this.stopper = stopper;
    this.starter = starter;
  }

  /** Handles the ended, unexpected and missing attempts and the usage in a report. */
  void handleSessionReport(SessionReportMessage report) {
    for (AttemptMessage message : report.getEndedList()) {
      Optional<TaskOutcome> outcome = Optional.of(reportedOutcome(message.getOutcome()));
      reconcileAttempt(message.getWorkerId(), taskIdOf(message), message.getAttempt(), outcome);
    }
    for (AttemptMessage message : report.getExtraList()) {
      reconcileAttempt(
          message.getWorkerId(), taskIdOf(message), message.getAttempt(), Optional.empty());
    }
    for (AttemptMessage message : report.getMissingList()) {
      handleAbsentAttempt(
          message.getWorkerId(),
          taskIdOf(message),
          message.getAttempt(),
          report.getLeaderClockMillis());
    }
    for (AttemptMessage message : report.getUsageList()) {
      term.placer()
          .observeUsage(
              taskIdOf(message),
              new Resources(
                  message.getCpuMillis(), message.getMemoryMib(), message.getAccelerators()),
              term.now());
    }
  }

  /** Handles a complete inventory that was requested at monotonic time {@code requestedMillis}. */
  void reconcileInventory(String workerId, List<TaskReport> reports, long requestedMillis) {
    if (term.hasEnded()) {
      return;
    }
    reconcileAttempts(workerId, reports);
    for (TaskEntry entry : term.taskTable().onWorker(workerId)) {
      boolean shown =
          reports.stream()
              .anyMatch(
                  report ->
                      report.task().equals(entry.id()) && report.attempt() == entry.attempt());
      if (!shown) {
        endMissingAttempt(entry, requestedMillis);
      }
    }
  }

  /** Handles reports of single attempts. */
  void reconcileAttempts(String workerId, List<TaskReport> reports) {
    for (TaskReport report : reports) {
      reconcileAttempt(workerId, report.task(), report.attempt(), report.ended());
    }
  }

  /** Handles an attempt that was not running at monotonic time {@code requestedMillis}. */
  void handleAbsentAttempt(String workerId, TaskId id, int attempt, long requestedMillis) {
    term.taskTable()
        .find(id)
        .filter(entry -> entry.isActiveOn(workerId, attempt))
        .ifPresent(entry -> endMissingAttempt(entry, requestedMillis));
  }

  /** Ends the tasks of a loss policy on a worker whose leases have certainly expired. */
  void handleLeaseExpiry(String workerId, LossPolicy loss) {
    for (TaskEntry entry : term.taskTable().onWorker(workerId)) {
      if (entry.phase() == TaskEntry.Phase.RUNNING && entry.spec().loss() == loss) {
        endMissingAttempt(entry, Long.MAX_VALUE);
      }
    }
  }

  private void endMissingAttempt(TaskEntry entry, long requestedMillis) {
    boolean expected = entry.phase() == TaskEntry.Phase.RUNNING;
    if (expected && entry.confirmedAtMillis() < requestedMillis) {
      boolean atMostOnce = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
      boolean stopped = entry.stopOutcome().isPresent() && term.isCancelled(entry.id().jobId());
      TaskOutcome lost = atMostOnce ? TaskOutcome.UNKNOWN : TaskOutcome.LOST;
      recorder.recordEnd(entry, stopped ? TaskOutcome.CANCELLED : lost);
    }
  }

  private void reconcileAttempt(
      String workerId, TaskId id, int attempt, Optional<TaskOutcome> ended) {
    Optional<TaskEntry> found = term.taskTable().find(id);
    if (found.isPresent() && found.get().isActiveOn(workerId, attempt)) {
      TaskEntry entry = found.get();
      ended.ifPresent(outcome -> recorder.recordEnd(entry, resolveOutcome(entry, outcome)));
      return;
    }
    boolean newer = found.isPresent() && attempt > found.get().attempt();
    if (newer && !found.get().isActive() && isAdoptable(found.get())) {
      starter.adopt(found.get(), workerId, attempt);
      ended.ifPresent(outcome -> recorder.recordEnd(found.get(), outcome));
    } else if (ended.isEmpty()) {
      stopper.sendStop(workerId, id, attempt, false);
    }
  }

  private boolean isAdoptable(TaskEntry entry) {
    return !entry.isSettled()
        && entry.spec().rerun() == RerunPolicy.RERUN
        && !term.isCancelled(entry.id().jobId());
  }

  private static TaskOutcome resolveOutcome(TaskEntry entry, TaskOutcome reported) {
    return reported == TaskOutcome.CANCELLED
        ? entry.stopOutcome().orElse(TaskOutcome.LOST)
        : reported;
  }

  private static TaskId taskIdOf(AttemptMessage message) {
    return new TaskId(message.getJobId(), message.getIndex());
  }

  private static TaskOutcome reportedOutcome(int number) {
    TaskOutcome[] outcomes = TaskOutcome.values();
    return number >= 1 && number <= outcomes.length ? outcomes[number - 1] : TaskOutcome.LOST;
  }
}
