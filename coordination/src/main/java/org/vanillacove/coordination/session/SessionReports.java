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
 * Compares what workers say with the folded state and gathers the differences for the leader; not
 * thread-safe.
 */
final class SessionReports {
  /** Usage entries of one report. */
  private static final int MAX_USAGE = 32;

  /** Time between two sendings of an end that the state does not show yet, in milliseconds. */
  private static final long RESEND_MILLIS = 2_000;

  /** Change of use worth a report, as a part of what was known before. */
  private static final double USAGE_CHANGE = 0.1;

  /** The folded state. */
  private final CellStore store;

  /** Time after which an end that the state never shows is forgotten, in milliseconds. */
  private final long forgetMillis;

  /** Ended attempts that the state does not show yet, by attempt. */
  private final Map<Attempt, Ended> ended = new LinkedHashMap<>();

  /** Usage reported last, by task; the others were said to use what they asked for. */
  private final Map<TaskId, Resources> usage = new HashMap<>();

  /** Differences found since the last report. */
  private SessionReportMessage.Builder differences = SessionReportMessage.newBuilder();

  SessionReports(CellStore store, long forgetMillis) {
    this.store = store;
    this.forgetMillis = forgetMillis;
  }

  /** Takes note of single attempts on a worker. */
  void addAttempts(String workerId, List<TaskReport> reports, long nowMillis) {
    for (TaskReport report : reports) {
      Optional<Resources> declared =
          store.read(state -> declaredIfRunning(state, workerId, report));
      if (report.ended().isPresent()) {
        Attempt attempt = new Attempt(workerId, report.task(), report.attempt());
        ended.putIfAbsent(attempt, new Ended(endMessage(workerId, report), nowMillis, nowMillis));
        usage.remove(report.task());
      } else if (declared.isPresent()) {
        addUsage(report, declared.get());
      } else {
        differences.addExtra(attemptMessage(workerId, report.task(), report.attempt()));
      }
    }
  }

  /**
   * Takes note of the whole inventory of a worker.
   *
   * @param leaderClockMillis newest leader clock that was heard before the inventory was asked for
   */
  void addInventory(
      String workerId, List<TaskReport> reports, long leaderClockMillis, long nowMillis) {
    addAttempts(workerId, reports, nowMillis);
    Set<Attempt> seen = new HashSet<>();
    for (TaskReport report : reports) {
      seen.add(new Attempt(workerId, report.task(), report.attempt()));
    }
    for (Attempt attempt : store.read(state -> runningOn(state, workerId))) {
      if (!seen.contains(attempt) && !ended.containsKey(attempt)) {
        differences.addMissing(attemptMessage(workerId, attempt.task, attempt.number));
        long earliest = differences.getLeaderClockMillis();
        differences.setLeaderClockMillis(
            earliest == 0 ? leaderClockMillis : Math.min(earliest, leaderClockMillis));
      }
    }
  }

  /** Takes note of a worker that does not answer. */
  void addUnreachable(String workerId) {
    differences.addUnreachableWorkers(workerId);
  }

  /** Returns whether something was found on which the leader waits. */
  boolean isUrgent() {
    return differences.getUnreachableWorkersCount() + differences.getMissingCount() > 0;
  }

  /** Returns what is to be reported now, empty if there is nothing. */
  Optional<SessionReportMessage> next(long epoch, long nowMillis) {
    ended.values().removeIf(entry -> store.read(state -> isShown(state, entry, nowMillis)));
    ended.replaceAll((attempt, entry) -> entry.dueAtMillis <= nowMillis ? send(entry) : entry);
    SessionReportMessage report = differences.setEpoch(epoch).build();
    differences = SessionReportMessage.newBuilder();
    boolean empty =
        report.getEndedCount()
                + report.getMissingCount()
                + report.getExtraCount()
                + report.getUnreachableWorkersCount()
                + report.getUsageCount()
            == 0;
    return empty ? Optional.empty() : Optional.of(report);
  }

  private Ended send(Ended entry) {
    differences.addEnded(entry.message);
    return new Ended(entry.message, entry.dueAtMillis + RESEND_MILLIS, entry.atMillis);
  }

  private boolean isShown(CellState state, Ended entry, long nowMillis) {
    AttemptMessage message = entry.message;
    Optional<TaskState> task = state.task(new TaskId(message.getJobId(), message.getIndex()));
    boolean old = nowMillis - entry.atMillis > forgetMillis;
    return task.isEmpty()
        || task.get().attempt() > message.getAttempt()
        || (task.get().attempt() == message.getAttempt()
            && !task.get().workerId().equals(Optional.of(message.getWorkerId())))
        || (task.get().attempt() < message.getAttempt() && old);
  }

  private void addUsage(TaskReport report, Resources declared) {
    Resources last = usage.getOrDefault(report.task(), declared);
    if (differences.getUsageCount() < MAX_USAGE && isWorthReport(last, report.used())) {
      usage.put(report.task(), report.used());
      differences.addUsage(
          AttemptMessage.newBuilder()
              .setJobId(report.task().jobId())
              .setIndex(report.task().index())
              .setCpuMillis(report.used().cpuMillis())
              .setMemoryMib(report.used().memoryMib())
              .setAccelerators(report.used().accelerators()));
    }
  }

  private static boolean isWorthReport(Resources last, Resources used) {
    return Math.abs(used.cpuMillis() - last.cpuMillis()) > USAGE_CHANGE * last.cpuMillis()
        || Math.abs(used.memoryMib() - last.memoryMib()) > USAGE_CHANGE * last.memoryMib();
  }

  /** Returns what an attempt asked for if it runs on the worker according to the state. */
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
        .setOutcome(report.ended().map(SessionReports::number).orElse(0))
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
  private static int number(TaskOutcome outcome) {
    return outcome.ordinal() + 1;
  }

  /**
   * An attempt of a task; two leaders may give one number to attempts on two workers.
   *
   * @param workerId worker of the attempt
   * @param task the task
   * @param number number of the attempt
   */
  private record Attempt(String workerId, TaskId task, int number) {}

  /**
   * An ended attempt to be reported.
   *
   * @param message the report
   * @param dueAtMillis monotonic time of its next sending in milliseconds
   * @param atMillis monotonic time at which it came, in milliseconds
   */
  private record Ended(AttemptMessage message, long dueAtMillis, long atMillis) {}
}
