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

/** Compares what workers and session holders say with what should run. */
final class InventoryCheck {
  /** What the parts of the term share. */
  private final TermState term;

  /** Records what happens. */
  private final TaskRecorder recorder;

  /** Stops attempts. */
  private final TaskStopper stopper;

  /** Starts and adopts attempts. */
  private final TaskStarter starter;

  InventoryCheck(TermState term, TaskRecorder recorder, TaskStopper stopper, TaskStarter starter) {
    this.term = term;
    this.recorder = recorder;
    this.stopper = stopper;
    this.starter = starter;
  }

  /** Takes a report of a session holder, but for silent workers. */
  void takeReport(SessionReportMessage report) {
    for (AttemptMessage message : report.getEndedList()) {
      Optional<TaskOutcome> outcome = Optional.of(reportedOutcome(message.getOutcome()));
      take(message.getWorkerId(), idOf(message), message.getAttempt(), outcome);
    }
    for (AttemptMessage message : report.getExtraList()) {
      take(message.getWorkerId(), idOf(message), message.getAttempt(), Optional.empty());
    }
    for (AttemptMessage message : report.getMissingList()) {
      takeAbsent(
          message.getWorkerId(),
          idOf(message),
          message.getAttempt(),
          report.getLeaderClockMillis());
    }
    for (AttemptMessage message : report.getUsageList()) {
      term.placer()
          .observeUsage(
              idOf(message),
              new Resources(
                  message.getCpuMillis(), message.getMemoryMib(), message.getAccelerators()),
              term.now());
    }
  }

  /** Takes a whole inventory that was asked for at a monotonic time in milliseconds. */
  void takeInventory(String workerId, List<TaskReport> reports, long askedMillis) {
    if (term.isOver()) {
      return;
    }
    takeAttempts(workerId, reports);
    for (TaskEntry entry : term.ledger().onWorker(workerId)) {
      boolean shown =
          reports.stream()
              .anyMatch(
                  report ->
                      report.task().equals(entry.id()) && report.attempt() == entry.attempt());
      if (!shown) {
        missing(entry, askedMillis);
      }
    }
  }

  /** Takes reports of single attempts. */
  void takeAttempts(String workerId, List<TaskReport> reports) {
    for (TaskReport report : reports) {
      take(workerId, report.task(), report.attempt(), report.ended());
    }
  }

  /** Takes note that an attempt did not run at a monotonic time in milliseconds. */
  void takeAbsent(String workerId, TaskId id, int attempt, long askedMillis) {
    term.ledger()
        .find(id)
        .filter(entry -> entry.isOn(workerId, attempt))
        .ifPresent(entry -> missing(entry, askedMillis));
  }

  /** Ends the tasks of a class on a worker whose leases have lapsed for certain. */
  void takeLapse(String workerId, LossPolicy loss) {
    for (TaskEntry entry : term.ledger().onWorker(workerId)) {
      if (entry.phase() == TaskEntry.Phase.RUNNING && entry.spec().loss() == loss) {
        missing(entry, Long.MAX_VALUE);
      }
    }
  }

  private void missing(TaskEntry entry, long askedMillis) {
    boolean expected = entry.phase() == TaskEntry.Phase.RUNNING;
    if (expected && entry.confirmedAtMillis() < askedMillis) {
      boolean once = entry.spec().rerun() == RerunPolicy.AT_MOST_ONCE;
      boolean stopped = entry.stopOutcome().isPresent() && term.isCancelled(entry.id().jobId());
      TaskOutcome lost = once ? TaskOutcome.UNKNOWN : TaskOutcome.LOST;
      recorder.finish(entry, stopped ? TaskOutcome.CANCELLED : lost);
    }
  }

  private void take(String workerId, TaskId id, int attempt, Optional<TaskOutcome> ended) {
    Optional<TaskEntry> found = term.ledger().find(id);
    if (found.isPresent() && found.get().isOn(workerId, attempt)) {
      TaskEntry entry = found.get();
      ended.ifPresent(outcome -> recorder.finish(entry, outcomeOf(entry, outcome)));
      return;
    }
    boolean newer = found.isPresent() && attempt > found.get().attempt();
    if (newer && !found.get().isActive() && isAdoptable(found.get())) {
      starter.adopt(found.get(), workerId, attempt);
      ended.ifPresent(outcome -> recorder.finish(found.get(), outcome));
    } else if (ended.isEmpty()) {
      stopper.send(workerId, id, attempt, false);
    }
  }

  private boolean isAdoptable(TaskEntry entry) {
    return !entry.isSettled()
        && entry.spec().rerun() == RerunPolicy.RERUN
        && !term.isCancelled(entry.id().jobId());
  }

  private static TaskOutcome outcomeOf(TaskEntry entry, TaskOutcome reported) {
    return reported == TaskOutcome.CANCELLED
        ? entry.stopOutcome().orElse(TaskOutcome.LOST)
        : reported;
  }

  private static TaskId idOf(AttemptMessage message) {
    return new TaskId(message.getJobId(), message.getIndex());
  }

  private static TaskOutcome reportedOutcome(int number) {
    TaskOutcome[] outcomes = TaskOutcome.values();
    return number >= 1 && number <= outcomes.length ? outcomes[number - 1] : TaskOutcome.LOST;
  }
}
