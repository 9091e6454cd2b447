package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient;
import org.vanillacove.coordination.work.api.WorkerClient.CommandOutcome;
import org.vanillacove.coordination.work.api.WorkerClient.CurrentRun;
import org.vanillacove.coordination.work.api.WorkerClient.EndedRun;
import org.vanillacove.coordination.work.api.WorkerClient.Recipient;
import org.vanillacove.coordination.work.api.WorkerClient.Refusal;
import org.vanillacove.coordination.work.api.WorkerClient.RenewalOutcome;
import org.vanillacove.coordination.work.api.WorkerClient.Report;
import org.vanillacove.coordination.work.api.WorkerClient.StartCommand;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.WorkerCapacity;

/**
 * Controls one worker: renews its lease and tracks its runs and the capacity that they use. A run
 * uses capacity from its start command until the worker reports its end, or until the worker
 * certainly can't run it any more.
 */
final class WorkerSession {
  /** Logs events of workers (prefix {@code workers:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Time for which a worker may delay a report until a run ends; workers allow up to 2,000. */
  private static final long REPORT_WAIT_MILLIS = 1_000;

  /** Minimum interval between two report requests; each one is charged as a probe. */
  private static final long MIN_REPORT_INTERVAL_MILLIS = 200;

  /** Delay of the next report request after one without a response. */
  private static final Duration MISSED_REPORT_DELAY = Duration.ofMillis(250);

  /** Delay before a command without a confirmed outcome is retried. */
  private static final Duration COMMAND_RETRY_DELAY = Duration.ofMillis(150);

  /** Maximum attempts of a start command; after that a stop command is sent instead. */
  private static final int MAX_START_ATTEMPTS = 3;

  /**
   * Maximum age of the latest report at which ends are acknowledged. The numbers of ends begin anew
   * with each incarnation, so an acknowledgement must not reach a later one.
   */
  private static final long MAX_ACKNOWLEDGEMENT_AGE_MILLIS = 500;

  /** Pause of new starts after a worker was unhealthy or unreachable. */
  private static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

  /** Pause of new starts after consecutive failures or a stalled run. */
  private static final long FAILURE_PAUSE_MILLIS = 4_000;

  /** Receives the events of this session and decides on runs. */
  private final SessionListener callbacks;

  /** Counts the runs of all sessions. */
  private final Reservations reservations;

  /** Sends commands and renewals to the worker. */
  private final WorkerClient client;

  /** Clock and timers; callbacks run on the scheduling thread. */
  private final TimerService timer;

  /** When the worker's lease may end. */
  private final LeaseBound lease;

  /** Latest directory entry of the worker, with the incarnation that the latest report told. */
  private WorkerEntry entry;

  /** Fence of the calls to the present incarnation. */
  private int fence;

  /** Incarnation whose capacity, labels, service and address the entry tells. */
  private long describedIncarnation;

  /** Runs that use capacity, by task and run number. */
  private final Map<TaskRun.Key, TaskRun> runs = new HashMap<>();

  /** Total demand of these runs. */
  private Resources used = Resources.NONE;

  /** Monotonic time since which the present incarnation is known, in milliseconds. */
  private long incarnationSinceMillis;

  /** Highest number of an end that was processed. */
  private long processedEnd;

  /** Highest number of an end whose effects are durable. */
  private long acknowledgedEnd;

  /** Whether a complete report was received, so that all runs of former leaders are known. */
  private boolean runsKnown;

  /** Number of consecutive report requests without a response. */
  private int missedReports;

  /** Monotonic time until which no run is started, in milliseconds. */
  private long pausedUntilMillis;

  /** Failures and progress of the runs on the worker. */
  private final WorkerHistory history;

  /** Whether the worker is in the directory. */
  private boolean listed = true;

  /** Whether a report request is in progress. */
  private boolean reportPending;

  /** Whether the session is closed; later responses are ignored. */
  private boolean closed;

  /** Creates a session; {@link #open} starts it. */
  WorkerSession(
      WorkerEntry entry,
      SessionListener callbacks,
      Reservations reservations,
      WorkerClient client,
      TimerService timer,
      LeaseTerms terms) {
    this.entry = entry;
    this.callbacks = callbacks;
    this.reservations = reservations;
    this.client = client;
    this.timer = timer;
    lease = new LeaseBound(terms);
    describedIncarnation = entry.incarnation();
    fence = client.nextFence();
    history = new WorkerHistory(entry.id());
    incarnationSinceMillis = timer.monotonicMillis();
  }

  /**
   * One try to start a run.
   *
   * @param command command that is sent
   * @param number number of the try, from 1
   * @param fence fence of the worker's incarnation for which the command was made
   */
  private record StartAttempt(StartCommand command, int number, int fence) {}

  /**
   * A request for a report.
   *
   * @param sentMillis monotonic time at which it was sent, in milliseconds
   * @param fence fence with which it was sent
   */
  private record ReportRequest(long sentMillis, int fence) {}

  void open() {
    requestReport();
  }

  void close() {
    closed = true;
  }

  WorkerEntry entry() {
    return entry;
  }

  String id() {
    return entry.id();
  }

  boolean hasReported() {
    return lease.hasReported();
  }

  /** Returns whether all runs of former leaders on the worker are known. */
  boolean areRunsKnown() {
    return runsKnown;
  }

  /** Returns whether the worker responded to the last request or certainly has no lease. */
  boolean isReporting() {
    return !isRecorded() || (hasReported() && missedReports == 0);
  }

  /** Returns the share of the listed ones of {@code sessions} that don't answer, 0 to 1. */
  static double silentShare(Collection<WorkerSession> sessions) {
    long listed = sessions.stream().filter(WorkerSession::isListed).count();
    long silent = sessions.stream().filter(each -> each.listed && !each.isReporting()).count();
    return listed == 0 ? 0 : (double) silent / listed;
  }

  boolean isListed() {
    return listed;
  }

  boolean isIdle() {
    return runs.isEmpty();
  }

  /** Returns whether new runs may be started now. */
  boolean isUsable(long nowMillis) {
    return listed
        && isDescribed()
        && isRecorded()
        && !entry.draining()
        && hasReported()
        && missedReports == 0
        && nowMillis >= pausedUntilMillis;
  }

  /** Returns the capacity that {@code step} of {@code job} can use on this worker. */
  WorkerCapacity capacityFor(TrackedJob job, TrackedStep step) {
    int same = 0;
    if (step.spec().maxPerWorker() > 0) {
      for (TaskRun run : runs.values()) {
        if (run.task().step() == step.index() && run.task().job().equals(job.id())) {
          same++;
        }
      }
    }
    return freeCapacity(same);
  }

  /** Returns the capacity for a step of which {@code tasksOfStep} tasks run on this worker. */
  WorkerCapacity freeCapacity(int tasksOfStep) {
    return new WorkerCapacity(
        entry.id(),
        entry.rack(),
        entry.labels(),
        entry.capacity(),
        entry.capacity().minus(used),
        tasksOfStep,
        history.speed());
  }

  Resources capacity() {
    return entry.capacity();
  }

  /** Returns the runs that use capacity of the worker. */
  Collection<TaskRun> runs() {
    return Collections.unmodifiableCollection(runs.values());
  }

  /** Returns whether the entry of the present incarnation, which may be another kind, was read. */
  boolean isDescribed() {
    return describedIncarnation == entry.incarnation();
  }

  /** Returns whether another writer wrote {@code other}: it names a service that isn't in use. */
  boolean isForeign(WorkerEntry other, Set<String> services) {
    return other.incarnation() <= entry.incarnation()
        && !other.service().equals(entry.service())
        && !services.contains(other.service());
  }

  /** Updates the directory entry, unless it belongs to an earlier incarnation of the worker. */
  void updateEntry(WorkerEntry newer) {
    boolean restarted = newer.incarnation() > entry.incarnation();
    if (newer.incarnation() < entry.incarnation()) {
      return;
    }
    boolean describedBefore = isDescribed();
    listed = true;
    entry = newer;
    describedIncarnation = newer.incarnation();
    if (restarted) {
      resetForNewIncarnation();
    } else if (!describedBefore) {
      callbacks.capacityChanged();
    }
  }

  /** Records that the worker is no longer in the directory. */
  void markUnlisted() {
    listed = false;
  }

  boolean standsStill() {
    return history.standsStill();
  }

  /** Returns the run of {@code task} if it uses capacity of this worker. */
  Optional<TaskRun> findRun(TaskName task, int number) {
    return Optional.ofNullable(runs.get(new TaskRun.Key(task, number)));
  }

  /** Starts a run on the worker and reserves its capacity. */
  void start(TaskRun run, String payload, String checkpoint, Optional<String> ticket) {
    add(run);
    if (checkpoint.isEmpty()) {
      run.markMeasured();
    }
    long end = lease.request(timer.monotonicMillis());
    StartCommand command =
        new StartCommand(run.task(), run.number(), payload, end, checkpoint, ticket);
    sendStart(run, new StartAttempt(command, 1, fence));
  }

  /** Stops the run of {@code task} if it uses capacity of this worker. */
  void stop(TaskName task, int number) {
    TaskRun run = runs.get(new TaskRun.Key(task, number));
    if (run != null && run.phase() != TaskRun.Phase.STOPPING) {
      run.markStopping();
      sendStop(run);
    }
  }

  /** Drops all runs if the lease has certainly lapsed. */
  void checkLeaseLapse(long nowMillis) {
    boolean silent = missedReports > 0 || !hasReported();
    if (!silent || !isRecorded() || !lease.hasLapsed(nowMillis)) {
      return;
    }
    LOG.atInfo().log(
        "workers: lease lapsed worker=%s runs=%d silent_ms=%d %s",
        id(), runs.size(), lease.silentMillis(nowMillis), lease);
    dropAllRuns();
    callbacks.leaseLapsed(this, lease.basis());
  }

  /** Counts a failed or completed run, to pause workers on which every run fails. */
  void countRunResult(boolean failed) {
    if (history.countResult(failed, lease.clockMillis())) {
      pause(FAILURE_PAUSE_MILLIS);
      LOG.atInfo().log("workers: paused after failures worker=%s", id());
    }
  }

  private boolean isRecorded() {
    return callbacks.isRecorded(this);
  }

  private Recipient recipient() {
    return new Recipient(entry, fence);
  }

  private void pause(long millis) {
    pausedUntilMillis = timer.monotonicMillis() + millis;
    timer.after(Duration.ofMillis(millis), callbacks::capacityChanged);
  }

  private void sendStart(TaskRun run, StartAttempt attempt) {
    client.start(recipient(), attempt.command(), outcome -> startAnswered(run, attempt, outcome));
  }

  private void startAnswered(TaskRun run, StartAttempt attempt, CommandOutcome outcome) {
    if (closed || runs.get(run.key()) != run || run.phase() != TaskRun.Phase.ORDERED) {
      return;
    }
    switch (outcome) {
      case CommandOutcome.Done done -> {
        run.markRunning(timer.monotonicMillis());
        callbacks.started(this, run);
      }
      case CommandOutcome.Refused refused when attempt.number() == 1 ->
          startRefused(run, attempt, refused.refusal());
      case CommandOutcome.Refused refused -> {
        // An earlier attempt may have been executed, so this refusal doesn't show that no run
        // exists.
        LOG.atInfo().log(
            "workers: start unconfirmed worker=%s task=%s run=%d refusal=%s",
            id(), run.task(), run.number(), refused.refusal());
        giveUpStart(run);
      }
      case CommandOutcome.Unknown unknown when attempt.number() < MAX_START_ATTEMPTS ->
          timer.after(COMMAND_RETRY_DELAY, () -> startAgain(run, attempt));
      case CommandOutcome.Unknown unknown -> {
        pause(UNHEALTHY_PAUSE_MILLIS);
        giveUpStart(run);
      }
    }
  }

  private void giveUpStart(TaskRun run) {
    stop(run.task(), run.number());
    callbacks.startGivenUp(this, run);
  }

  private void startAgain(TaskRun run, StartAttempt attempt) {
    if (closed || runs.get(run.key()) != run || run.phase() != TaskRun.Phase.ORDERED) {
      return;
    }
    if (attempt.fence() != fence) {
      // The lease end in the command is a time on the clock of the former incarnation.
      giveUpStart(run);
    } else if (callbacks.mayCommand()) {
      sendStart(run, new StartAttempt(attempt.command(), attempt.number() + 1, fence));
    } else {
      timer.after(COMMAND_RETRY_DELAY, () -> startAgain(run, attempt));
    }
  }

  private void startRefused(TaskRun run, StartAttempt attempt, Refusal refusal) {
    remove(run);
    if (refusal == Refusal.FENCED && attempt.fence() == fence) {
      callbacks.fenced();
      return;
    }
    if (refusal == Refusal.UNHEALTHY
        || refusal == Refusal.OTHER_INSTANCE
        || refusal == Refusal.UNREACHABLE) {
      pause(UNHEALTHY_PAUSE_MILLIS);
    }
    callbacks.refused(this, run, refusal);
  }

  private void sendStop(TaskRun run) {
    if (closed || runs.get(run.key()) != run) {
      return;
    }
    if (!callbacks.mayCommand()) {
      timer.after(COMMAND_RETRY_DELAY, () -> sendStop(run));
      return;
    }
    int sentFence = fence;
    client.stop(
        recipient(), run.task(), run.number(), outcome -> stopAnswered(run, sentFence, outcome));
  }

  private void stopAnswered(TaskRun run, int sentFence, CommandOutcome outcome) {
    if (closed || runs.get(run.key()) != run) {
      return;
    }
    switch (outcome) {
      case CommandOutcome.Done done -> run.markStopAnswered(timer.monotonicMillis());
      case CommandOutcome.Refused refused
          when refused.refusal() == Refusal.FENCED && sentFence == fence ->
          callbacks.fenced();
      case CommandOutcome.Refused refused -> timer.after(COMMAND_RETRY_DELAY, () -> sendStop(run));
      case CommandOutcome.Unknown unknown -> timer.after(COMMAND_RETRY_DELAY, () -> sendStop(run));
    }
  }

  private void requestReport() {
    if (closed || reportPending || !callbacks.mayCommand()) {
      scheduleReport(MISSED_REPORT_DELAY);
      return;
    }
    reportPending = true;
    boolean trusted = hasReported() && missedReports == 0 && isRecorded();
    long sent = timer.monotonicMillis();
    OptionalLong end = trusted ? OptionalLong.of(lease.request(sent)) : OptionalLong.empty();
    long wait = trusted ? REPORT_WAIT_MILLIS : 0;
    boolean recent = sent - lease.reportedMillis() <= MAX_ACKNOWLEDGEMENT_AGE_MILLIS;
    ReportRequest request = new ReportRequest(sent, fence);
    client.renew(
        recipient(),
        new WorkerClient.Renewal(end, trusted && recent ? acknowledgedEnd : 0, wait),
        outcome -> reported(request, outcome));
  }

  private void scheduleReport(Duration pause) {
    if (!closed && !reportPending) {
      timer.after(pause, this::requestReport);
    }
  }

  private void reported(ReportRequest request, RenewalOutcome outcome) {
    reportPending = false;
    if (closed) {
      return;
    }
    switch (outcome) {
      case RenewalOutcome.Reported reported -> {
        long elapsed = timer.monotonicMillis() - request.sentMillis();
        // Scheduled first, so that an error in a report does not end the reports.
        scheduleReport(Duration.ofMillis(Math.max(0, MIN_REPORT_INTERVAL_MILLIS - elapsed)));
        processReport(request, reported.report());
      }
      case RenewalOutcome.Fenced fenced when request.fence() != fence ->
          // A call with the present fence came first; this one was meant for a former incarnation.
          scheduleReport(MISSED_REPORT_DELAY);
      case RenewalOutcome.Fenced fenced -> {
        LOG.atInfo().log("workers: follows a newer leader worker=%s", id());
        callbacks.fenced();
      }
      case RenewalOutcome.NoResponse noAnswer -> reportMissed();
    }
  }

  private void reportMissed() {
    if (missedReports == 0) {
      LOG.atInfo().log("workers: no report worker=%s runs=%d", id(), runs.size());
    }
    missedReports++;
    scheduleReport(MISSED_REPORT_DELAY);
  }

  private void processReport(ReportRequest request, Report report) {
    long sent = request.sentMillis();
    if (isFromFormerIncarnation(sent, report)) {
      return;
    }
    if (report.incarnation() != 0 && report.incarnation() != entry.incarnation()) {
      changeIncarnation(report.incarnation());
    }
    boolean first = !hasReported();
    boolean wasUsable = !first && missedReports == 0;
    if (missedReports > 0) {
      LOG.atInfo().log("workers: reports again worker=%s misses=%d", id(), missedReports);
    }
    if (!isRecorded()) {
      callbacks.unrecordedWorkerReported(this);
    }
    missedReports = 0;
    boolean current = request.fence() == fence;
    lease.reported(timer.monotonicMillis(), report.clockMillis(), current);
    if (first) {
      LOG.atInfo().log(
          "workers: first report worker=%s born=%d running=%d ended=%d %s",
          id(), report.incarnation(), report.running().size(), report.ended().size(), lease);
    }
    processEnds(report.ended());
    processRunning(report.running());
    // A call for a former incarnation may still start a run until this fence has been seen.
    boolean complete = report.complete() && current;
    if (complete) {
      processAbsentRuns(sent, report.running());
    }
    boolean knownBefore = runsKnown;
    runsKnown |= complete;
    if (!wasUsable || !report.ended().isEmpty() || runsKnown != knownBefore) {
      callbacks.capacityChanged();
    }
  }

  private boolean isFromFormerIncarnation(long sent, Report report) {
    return report.incarnation() != 0
        && report.incarnation() < entry.incarnation()
        && sent <= incarnationSinceMillis;
  }

  /** Takes over another start time, an earlier one if the worker's clock was set back. */
  private void changeIncarnation(long incarnation) {
    resetForNewIncarnation();
    entry = entry.withIncarnation(incarnation);
  }

  private void processEnds(List<EndedRun> ended) {
    for (EndedRun end : ended) {
      if (end.number() > processedEnd) {
        processedEnd = end.number();
        TaskRun run = runs.get(new TaskRun.Key(end.task(), end.run()));
        if (run != null) {
          remove(run);
        }
        callbacks.ended(this, end, Optional.ofNullable(run));
      }
    }
    long last = processedEnd;
    long born = entry.incarnation();
    if (last > acknowledgedEnd) {
      callbacks.whenDurable(() -> acknowledge(born, last));
    }
  }

  private void acknowledge(long born, long last) {
    if (born == entry.incarnation()) {
      acknowledgedEnd = Math.max(acknowledgedEnd, last);
    }
  }

  private void processRunning(List<CurrentRun> running) {
    for (CurrentRun each : running) {
      TaskRun run = runs.get(new TaskRun.Key(each.task(), each.run()));
      if (run == null) {
        addFoundRun(each);
      } else if (run.phase() == TaskRun.Phase.ORDERED) {
        run.markRunning(timer.monotonicMillis());
        callbacks.started(this, run);
      } else if (run.phase() == TaskRun.Phase.RUNNING) {
        checkProgress(run, each);
      }
      callbacks.checkpointSaved(each.task(), each.checkpoint());
    }
  }

  /** Gives up the runs that a complete report must list and doesn't. */
  private void processAbsentRuns(long sent, List<CurrentRun> running) {
    Set<TaskRun.Key> listed = new HashSet<>();
    running.forEach(each -> listed.add(new TaskRun.Key(each.task(), each.run())));
    for (TaskRun run : List.copyOf(runs.values())) {
      if (!listed.contains(run.key()) && run.isSettledBefore(sent)) {
        remove(run);
        callbacks.lost(this, run);
      }
    }
  }

  /** Stops a stalled run, so that it restarts elsewhere, and pauses new starts on this worker. */
  private void checkProgress(TaskRun run, CurrentRun reported) {
    boolean progressedBefore = run.hasProgressed();
    long still = run.updateProgress(reported, lease.clockMillis(), timer.monotonicMillis());
    if (run.hasProgressed() && !progressedBefore) {
      callbacks.progressed(run);
    }
    history.update(run, lease.clockMillis());
    if (still > run.stallTimeoutMillis() && callbacks.isStalled(this, run)) {
      pause(FAILURE_PAUSE_MILLIS);
      stop(run.task(), run.number());
    }
  }

  private void addFoundRun(CurrentRun running) {
    SessionListener.FoundRun found = callbacks.runFound(this, running);
    TaskRun run =
        new TaskRun(
            running.task(),
            running.run(),
            found.demand(),
            found.stallTimeoutMillis(),
            TaskRun.Phase.RUNNING);
    run.markRunning(timer.monotonicMillis());
    add(run);
    if (!found.wanted()) {
      stop(run.task(), run.number());
    }
  }

  private void resetForNewIncarnation() {
    // Commands reach whichever incarnation is up, so the runs are kept until a report of the new
    // one shows whether it has them.
    LOG.atInfo().log("workers: restarted worker=%s runs=%d", id(), runs.size());
    fence = client.nextFence();
    incarnationSinceMillis = timer.monotonicMillis();
    lease.restarted(incarnationSinceMillis);
    processedEnd = 0;
    acknowledgedEnd = 0;
    history.reset();
    pausedUntilMillis = 0;
  }

  private void dropAllRuns() {
    List<TaskRun> all = new ArrayList<>(runs.values());
    all.forEach(this::remove);
    all.forEach(run -> callbacks.lost(this, run));
  }

  private void add(TaskRun run) {
    runs.put(run.key(), run);
    used = used.plus(run.demand());
    reservations.reserved(run);
  }

  private void remove(TaskRun run) {
    runs.remove(run.key());
    used = used.minus(run.demand());
    reservations.released(run);
  }
}
