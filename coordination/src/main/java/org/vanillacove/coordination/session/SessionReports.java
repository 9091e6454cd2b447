package org.vanillacove.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.protocol.generated.AttemptMessage;
import org.vanillacove.protocol.generated.SessionReportMessage;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.TaskState;

/**
 * Compares the reports of workers with the cell state and collects the differences for the leader;
 * not thread-safe.
 */
final class SessionReports {
  /** Maximum number of usage entries in one report. */
  private static final int MAX_USAGE_ENTRIES = 32;

  /** Resend interval of an attempt's end that the state doesn't show yet, in milliseconds. */
  private static final long RESEND_MILLIS = 2_000;

  /** Minimum change of usage that is reported, as a fraction of the last known value. */
  private static final double MIN_USAGE_CHANGE = 0.1;

  /** Cell state, with the records of the log applied. */
  private final CellStore store;

  /** Time after which an end that the state never shows is discarded, in milliseconds. */
  private final long retentionMillis;

  /** Ended attempts that the state does not show yet, by attempt. */
  private final Map<Attempt, UnconfirmedEnd> unconfirmedEnds = new LinkedHashMap<>();

  /** Usage last reported, by task; a task without entry counts with its requested resources. */
  private final Map<TaskId, Resources> reportedUsage = new HashMap<>();

  /** Differences found since the last report was taken. */
  private SessionReportMessage.Builder nextReport = SessionReportMessage.newBuilder();

  SessionReports(CellStore store, long forgetMillis) {
    this.store = store;
    this.retentionMillis = forgetMillis;
  }

  /** Compares single attempts on a worker with the state. */
  void addAttempts(String workerId, List<TaskReport> reports, long nowMillis) {
    for (TaskReport report : reports) {
      Optional<Resources> declared =
          store.read(state -> declaredIfRunning(state, workerId, report));
      if (report.ended().isPresent()) {
        Attempt attempt = new Attempt(workerId, report.task(), report.attempt());
        unconfirmedEnds.putIfAbsent(
            attempt, new UnconfirmedEnd(endMessage(workerId, report), nowMillis, nowMillis));
        reportedUsage.remove(report.task());
      } else if (declared.isPresent()) {
        addUsage(report, declared.get());
      } else {
        nextReport.addExtra(attemptMessage(workerId, report.task(), report.attempt()));
      }
    }
  }

  /**
   * Compares the full inventory of a worker with the state, so that missing attempts are found too.
   *
   * @param leaderClockMillis newest reading of the leader's clock before the inventory was
   *     requested
   */
  void addInventory(
      String workerId, List<TaskReport> reports, long leaderClockMillis, long nowMillis) {
    addAttempts(workerId, reports, nowMillis);
    Set<Attempt> seen = new HashSet<>();
    for (TaskReport report : reports) {
      seen.add(new Attempt(workerId, report.task(), report.attempt()));
    }
    for (Attempt attempt : store.read(state -> runningOn(state, workerId))) {
      if (!seen.contains(attempt) && !unconfirmedEnds.containsKey(attempt)) {
        nextReport.addMissing(attemptMessage(workerId, attempt.task, attempt.number));
        long earliest = nextReport.getLeaderClockMillis();
        nextReport.setLeaderClockMillis(
            earliest == 0 ? leaderClockMillis : Math.min(earliest, leaderClockMillis));
      }
    }
  }

  /** Adds a worker that doesn't answer. */
  void addUnreachable(String workerId) {
    nextReport.addUnreachableWorkers(workerId);
  }

  /** Returns whether an unreachable worker or a missing attempt was found, to be sent at once. */
  boolean isUrgent() {
    return nextReport.getUnreachableWorkersCount() + nextReport.getMissingCount() > 0;
  }

  /** Returns the report that is due and starts a new one; empty if there is nothing to report. */
  Optional<SessionReportMessage> takeReport(long epoch, long nowMillis) {
    unconfirmedEnds
        .values()
        .removeIf(entry -> store.read(state -> isObsolete(state, entry, nowMillis)));
    unconfirmedEnds.replaceAll(
        (attempt, entry) -> entry.nextSendMillis <= nowMillis ? send(entry) : entry);
    SessionReportMessage report = nextReport.setEpoch(epoch).build();
    nextReport = SessionReportMessage.newBuilder();
    boolean empty =
        report.getEndedCount()
                + report.getMissingCount()
                + report.getExtraCount()
                + report.getUnreachableWorkersCount()
                + report.getUsageCount()
            == 0;
    return empty ? Optional.empty() : Optional.of(report);
  }

  private UnconfirmedEnd send(UnconfirmedEnd entry) {
    nextReport.addEnded(entry.message);
    return new UnconfirmedEnd(
        entry.message, entry.nextSendMillis + RESEND_MILLIS, entry.receivedAtMillis);
  }

  /**
   * Returns whether an end needs no further report: the state shows it or a newer attempt, the task
   * is gone, or the state hasn't shown the attempt within the retention time.
   */
  private boolean isObsolete(CellState state, UnconfirmedEnd entry, long nowMillis) {
    AttemptMessage message = entry.message;
    Optional<TaskState> task = state.task(new TaskId(message.getJobId(), message.getIndex()));
    boolean old = nowMillis - entry.receivedAtMillis > retentionMillis;
    return task.isEmpty()
        || task.get().attempt() > message.getAttempt()
        || (task.get().attempt() == message.getAttempt()
            && !task.get().workerId().equals(Optional.of(message.getWorkerId())))
        || (task.get().attempt() < message.getAttempt() && old);
  }

  private void addUsage(TaskReport report, Resources declared) {
    Resources last = reportedUsage.getOrDefault(report.task(), declared);
    if (nextReport.getUsageCount() < MAX_USAGE_ENTRIES
        && isSignificantChange(last, report.used())) {
      reportedUsage.put(report.task(), report.used());
      nextReport.addUsage(
          AttemptMessage.newBuilder()
              .setJobId(report.task().jobId())
              .setIndex(report.task().index())
              .setCpuMillis(report.used().cpuMillis())
              .setMemoryMib(report.used().memoryMib())
              .setAccelerators(report.used().accelerators()));
    }
  }

  private static boolean isSignificantChange(Resources last, Resources used) {
    return Math.abs(used.cpuMillis() - last.cpuMillis()) > MIN_USAGE_CHANGE * last.cpuMillis()
        || Math.abs(used.memoryMib() - last.memoryMib()) > MIN_USAGE_CHANGE * last.memoryMib();
  }

  /** Returns the requested resources of an attempt if the state has it running on the worker. */
  private static Optional<Resources> declaredIfRunning(
      CellState state, String workerId, TaskReport report) {
    return state
        .task(report.task())
        .filter(task -> task.attempt() == report.attempt())
        .filter(task -> task.workerId().equals(Optional.of(workerId)))
        .flatMap(task -> state.job(report.task().jobId()))
        .map(job -> job.spec().resources());
  }

  private static List<Attempt> runningOn(CellState state, String workerId) {
    List<Attempt> running = new ArrayList<>();
    state
        .worker(workerId)
        .ifPresent(
            worker -> {
              for (TaskId task : worker.running()) {
                int number = state.task(task).map(TaskState::attempt).orElse(0);
                running.add(new Attempt(workerId, task, number));
              }
            });
    return running;
  }

  private static AttemptMessage endMessage(String workerId, TaskReport report) {
    return attemptMessage(workerId, report.task(), report.attempt()).toBuilder()
        .setOutcome(report.ended().map(SessionReports::outcomeNumber).orElse(0))
        .build();
  }

  private static AttemptMessage attemptMessage(String workerId, TaskId task, int number) {
    return AttemptMessage.newBuilder()
        .setWorkerId(workerId)
        .setJobId(task.jobId())
        .setIndex(task.index())
        .setAttempt(number)
        .build();
  }

  @SuppressWarnings("EnumOrdinal")
  private static int outcomeNumber(TaskOutcome outcome) {
    return outcome.ordinal() + 1;
  }

  /**
   * An attempt of a task. The worker is part of its identity, as two leaders may give the same
   * number to attempts on different workers.
   *
   * @param workerId identifier of the worker
   * @param task identifier of the task
   * @param number number of the attempt within the task
   */
  private record Attempt(String workerId, TaskId task, int number) {}

  /**
   * An ended attempt that the state doesn't show as ended yet.
   *
   * @param message entry of the report
   * @param nextSendMillis monotonic time at which it is sent next, in milliseconds
   * @param receivedAtMillis monotonic time at which the worker reported it, in milliseconds
   */
  private record UnconfirmedEnd(
      AttemptMessage message, long nextSendMillis, long receivedAtMillis) {}
}
