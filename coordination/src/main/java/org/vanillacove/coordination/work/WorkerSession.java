package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.vanillacove.coordination.work.api.TaskName;
import org.vanillacove.coordination.work.api.WorkerClient;
import org.vanillacove.coordination.work.api.WorkerClient.Ended;
import org.vanillacove.coordination.work.api.WorkerClient.OrderOutcome;
import org.vanillacove.coordination.work.api.WorkerClient.Refusal;
import org.vanillacove.coordination.work.api.WorkerClient.RenewalOutcome;
import org.vanillacove.coordination.work.api.WorkerClient.Report;
import org.vanillacove.coordination.work.api.WorkerClient.Running;
import org.vanillacove.coordination.work.api.WorkerClient.StartOrder;
import org.vanillacove.coordination.work.api.WorkerEntry;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.WorkerRoom;

/**
 * One worker: its lease, its runs and the room they hold. A run holds room from its order until the
 * worker lists its end, or until it is certain that the worker cannot run it any more.
 */
final class WorkerSession {
  /** Log of the workers. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Time for which a report may wait for an end; the worker allows 2,000. */
  private static final long REPORT_WAIT_MILLIS = 1_000;

  /** Shortest time between two reports; each one is charged as a probe. */
  private static final long REPORT_GAP_MILLIS = 200;

  /** Pause after a report that did not come. */
  private static final Duration MISS_PAUSE = Duration.ofMillis(250);

  /** Pause before an unanswered order is sent again. */
  private static final Duration ORDER_PAUSE = Duration.ofMillis(150);

  /** Tries of a start before it is stopped instead. */
  private static final int START_TRIES = 3;

  /** Slowest rate of a worker's clock against ours, by the users' pages. */
  private static final double SLOWEST_CLOCK = 0.98;

  /** Time after the computed end of a lease in which runs are still being killed. */
  private static final long LAPSE_MARGIN_MILLIS = 500;

  /** Time without new starts after a worker said it was unhealthy. */
  private static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

  /** Failed runs in a row after which a worker rests. */
  private static final int FAILURES_IN_ROW = 3;

  /**
   * Time without progress after which a run counts as stalled; beyond a restore and a gang's wait.
   */
  private static final long STALLED_MILLIS = 4_000;

  /** The same for a task that needs no others and so progresses from its start. */
  private static final long STALLED_ALONE_MILLIS = 1_500;

  /** Time without new starts after that many failures in a row. */
  private static final long FAILING_PAUSE_MILLIS = 4_000;

  /** What the session needs from the cell. */
  private final Cell cell;

  /** Orders to workers. */
  private final WorkerClient client;

  /** Source of time. */
  private final TimerService timer;

  /** Length of leases in milliseconds. */
  private final long leaseMillis;

  /** What the worker says of itself. */
  private WorkerEntry entry;

  /** Runs that hold room. */
  private final Map<TaskRun.Key, TaskRun> runs = new HashMap<>();

  /** Room that they hold together. */
  private Resources used = Resources.NONE;

  /** The worker's clock at its newest answer. */
  private long clockMillis;

  /** Monotonic time of that answer; negative before the first one. */
  private long answeredMillis = -1;

  /** Latest end of a lease that was ever ordered, on the worker's clock. */
  private long leaseEndMillis;

  /** Highest end that was taken in. */
  private long processedEnd;

  /** Highest end that is durable. */
  private long acknowledgedEnd;

  /** Calls in a row without an answer. */
  private int misses;

  /** Failed runs in a row. */
  private int failuresInRow;

  /** Monotonic time until which nothing is started. */
  private long pausedUntilMillis;

  /** Whether the worker is in the directory. */
  private boolean listed = true;

  /** Whether the store says that the worker may hold runs. */
  private boolean recorded;

  /** Whether a call for a report is under way. */
  private boolean reporting;

  /** Whether the session has ended. */
  private boolean closed;

  /** Creates a session; {@link #open} begins it. */
  WorkerSession(
      WorkerEntry entry, Cell cell, WorkerClient client, TimerService timer, long leaseMillis) {
    this.entry = entry;
    this.cell = cell;
    this.client = client;
    this.timer = timer;
    this.leaseMillis = leaseMillis;
  }

  /**
   * What to do about a run that the session did not order.
   *
   * @param demand room that it takes, as far as is known
   * @param wanted whether it may go on
   */
  record Found(Resources demand, boolean wanted) {}

  /** What a session tells the cell. */
  interface Cell {
    /** Returns whether leases may be renewed and orders given. */
    boolean mayOrder();

    /** A run was seen that the session did not order; returns what to do about it. */
    Found found(WorkerSession worker, Running running);

    /** A run was started. */
    void started(WorkerSession worker, TaskRun run);

    /** A start was refused and will not be carried out. */
    void refused(WorkerSession worker, TaskRun run, Refusal refusal);

    /** The worker holds no lease any more, and gets none before it is recorded again. */
    void silent(WorkerSession worker);

    /** The worker, which held no lease, reports again. */
    void back(WorkerSession worker);

    /** Returns whether the task works only together with others. */
    boolean isGang(TaskName task);

    /** The newest progress of a run. */
    void saved(TaskName task, String checkpoint);

    /** A run ended. */
    void ended(WorkerSession worker, Ended end);

    /** A run is gone without an end. */
    void lost(WorkerSession worker, TaskRun run);

    /** Runs {@code action} when all that was taken in so far is durable. */
    void whenDurable(Runnable action);

    /** A newer leader gives orders. */
    void fenced();

    /** Room or usability changed. */
    void changed();
  }

  void open() {
    report();
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

  boolean isConfirmed() {
    return answeredMillis >= 0;
  }

  /** Returns whether the last report came, or the worker certainly holds no lease. */
  boolean isReporting() {
    return !recorded || (isConfirmed() && misses == 0);
  }

  void recorded(boolean now) {
    recorded = now;
  }

  boolean isListed() {
    return listed;
  }

  boolean isIdle() {
    return runs.isEmpty();
  }

  /** Returns whether new runs may be ordered now. */
  boolean isUsable(long nowMillis) {
    return listed
        && recorded
        && !entry.draining()
        && isConfirmed()
        && misses == 0
        && nowMillis >= pausedUntilMillis;
  }

  /** Returns the worker as placement sees it for {@code step} of {@code job}. */
  WorkerRoom room(String job, int step) {
    int same = 0;
    for (TaskRun run : runs.values()) {
      if (run.task().step() == step && run.task().job().equals(job)) {
        same++;
      }
    }
    return new WorkerRoom(
        entry.id(),
        entry.rack(),
        entry.labels(),
        entry.capacity(),
        entry.capacity().minus(used),
        same);
  }

  Resources capacity() {
    return entry.capacity();
  }

  /** Takes a newer directory entry. */
  void listed(WorkerEntry newer) {
    boolean reborn = newer.born() > entry.born();
    if (newer.born() < entry.born()) {
      return;
    }
    listed = true;
    entry = newer;
    if (reborn) {
      reborn();
    }
  }

  /** Notes that the worker is no longer in the directory. */
  void unlisted() {
    listed = false;
  }

  /** Orders the start of a run. */
  void start(TaskRun run, String payload, String checkpoint, Optional<String> ticket) {
    runs.put(run.key(), run);
    used = used.plus(run.demand());
    long end = leaseTarget();
    leaseEndMillis = Math.max(leaseEndMillis, end);
    sendStart(run, new StartOrder(run.task(), run.number(), payload, end, checkpoint, ticket), 1);
  }

  /** Stops the run of {@code task} if it holds room here. */
  void stop(TaskName task, int number) {
    TaskRun run = runs.get(new TaskRun.Key(task, number));
    if (run != null && run.phase() != TaskRun.Phase.STOPPING) {
      run.stopping();
      sendStop(run);
    }
  }

  /** Ends all runs if the lease has certainly ended. */
  void checkLapse(long nowMillis) {
    if (misses == 0 || !recorded || !isConfirmed() || nowMillis <= lapseMillis()) {
      return;
    }
    LOG.atInfo().log(
        "workers: lapsed worker=%s runs=%d silent_ms=%d",
        id(), runs.size(), nowMillis - answeredMillis);
    loseAll();
    cell.silent(this);
  }

  /** Counts a failed or completed run, to let workers rest that fail everything. */
  void countEnd(boolean failed) {
    failuresInRow = failed ? failuresInRow + 1 : 0;
    if (failuresInRow >= FAILURES_IN_ROW) {
      pause(FAILING_PAUSE_MILLIS);
      LOG.atInfo().log("workers: resting worker=%s failures_in_row=%d", id(), failuresInRow);
    }
  }

  private long lapseMillis() {
    double left = Math.max(0, leaseEndMillis - clockMillis) / SLOWEST_CLOCK;
    return answeredMillis + (long) left + LAPSE_MARGIN_MILLIS;
  }

  private long leaseTarget() {
    return clockMillis + (timer.monotonicMillis() - answeredMillis) + leaseMillis;
  }

  private void pause(long millis) {
    pausedUntilMillis = timer.monotonicMillis() + millis;
    timer.after(Duration.ofMillis(millis), cell::changed);
  }

  private void sendStart(TaskRun run, StartOrder order, int attempt) {
    client.start(entry, order, outcome -> startAnswered(run, order, attempt, outcome));
  }

  private void startAnswered(TaskRun run, StartOrder order, int attempt, OrderOutcome outcome) {
    if (closed || runs.get(run.key()) != run || run.phase() != TaskRun.Phase.ORDERED) {
      return;
    }
    switch (outcome) {
      case OrderOutcome.Done done -> {
        run.running(timer.monotonicMillis());
        cell.started(this, run);
      }
      case OrderOutcome.Refused refused when attempt == 1 -> startRefused(run, refused.refusal());
      case OrderOutcome.Refused refused -> {
        // An earlier try may have been carried out, so the refusal proves nothing.
        LOG.atInfo().log(
            "workers: start unsure worker=%s task=%s run=%d refusal=%s",
            id(), run.task(), run.number(), refused.refusal());
        stop(run.task(), run.number());
      }
      case OrderOutcome.Unknown unknown when attempt < START_TRIES ->
          timer.after(ORDER_PAUSE, () -> startAgain(run, order, attempt + 1));
      case OrderOutcome.Unknown unknown -> {
        pause(UNHEALTHY_PAUSE_MILLIS);
        stop(run.task(), run.number());
      }
    }
  }

  private void startAgain(TaskRun run, StartOrder order, int attempt) {
    if (!closed && runs.get(run.key()) == run && run.phase() == TaskRun.Phase.ORDERED) {
      sendStart(run, order, attempt);
    }
  }

  private void startRefused(TaskRun run, Refusal refusal) {
    remove(run);
    if (refusal == Refusal.FENCED) {
      cell.fenced();
      return;
    }
    if (refusal == Refusal.UNHEALTHY
        || refusal == Refusal.OTHER_INSTANCE
        || refusal == Refusal.UNREACHABLE) {
      pause(UNHEALTHY_PAUSE_MILLIS);
    }
    cell.refused(this, run, refusal);
  }

  private void sendStop(TaskRun run) {
    if (closed || runs.get(run.key()) != run) {
      return;
    }
    client.stop(entry, run.task(), run.number(), outcome -> stopAnswered(run, outcome));
  }

  private void stopAnswered(TaskRun run, OrderOutcome outcome) {
    if (closed || runs.get(run.key()) != run) {
      return;
    }
    switch (outcome) {
      case OrderOutcome.Done done -> run.stopAnswered(timer.monotonicMillis());
      case OrderOutcome.Refused refused when refused.refusal() == Refusal.FENCED -> cell.fenced();
      case OrderOutcome.Refused refused -> timer.after(ORDER_PAUSE, () -> sendStop(run));
      case OrderOutcome.Unknown unknown -> timer.after(ORDER_PAUSE, () -> sendStop(run));
    }
  }

  private void report() {
    if (closed || reporting || !cell.mayOrder()) {
      scheduleReport(MISS_PAUSE);
      return;
    }
    reporting = true;
    boolean trusted = isConfirmed() && misses == 0 && recorded;
    OptionalLong end = trusted ? OptionalLong.of(leaseTarget()) : OptionalLong.empty();
    end.ifPresent(millis -> leaseEndMillis = Math.max(leaseEndMillis, millis));
    long sent = timer.monotonicMillis();
    long wait = trusted ? REPORT_WAIT_MILLIS : 0;
    client.renew(
        entry,
        new WorkerClient.Renewal(end, acknowledgedEnd, wait),
        outcome -> reported(sent, outcome));
  }

  private void scheduleReport(Duration pause) {
    if (!closed && !reporting) {
      timer.after(pause, this::report);
    }
  }

  private void reported(long sent, RenewalOutcome outcome) {
    reporting = false;
    if (closed) {
      return;
    }
    switch (outcome) {
      case RenewalOutcome.Reported reported -> {
        take(sent, reported.report());
        long elapsed = timer.monotonicMillis() - sent;
        scheduleReport(Duration.ofMillis(Math.max(0, REPORT_GAP_MILLIS - elapsed)));
      }
      case RenewalOutcome.Fenced fenced -> {
        LOG.atInfo().log("workers: obeys a newer leader worker=%s", id());
        cell.fenced();
      }
      case RenewalOutcome.NoAnswer noAnswer -> missed();
    }
  }

  private void missed() {
    if (misses == 0) {
      LOG.atInfo().log("workers: no report worker=%s runs=%d", id(), runs.size());
    }
    misses++;
    scheduleReport(MISS_PAUSE);
  }

  private void take(long sent, Report report) {
    if (report.born() != 0 && report.born() < entry.born()) {
      return;
    }
    if (report.born() > entry.born()) {
      reborn();
      entry =
          new WorkerEntry(
              entry.id(),
              report.born(),
              entry.address(),
              entry.service(),
              entry.draining(),
              entry.capacity(),
              entry.rack(),
              entry.labels());
    }
    boolean wasUsable = isConfirmed() && misses == 0;
    if (misses > 0) {
      LOG.atInfo().log("workers: reports again worker=%s misses=%d", id(), misses);
      if (isConfirmed() && !recorded) {
        cell.back(this);
      }
    }
    misses = 0;
    clockMillis = report.clockMillis();
    answeredMillis = timer.monotonicMillis();
    takeEnds(report.ended());
    takeRunning(sent, report.running());
    if (!wasUsable || !report.ended().isEmpty()) {
      cell.changed();
    }
  }

  private void takeEnds(List<Ended> ended) {
    for (Ended end : ended) {
      if (end.number() > processedEnd) {
        processedEnd = end.number();
        TaskRun run = runs.get(new TaskRun.Key(end.task(), end.run()));
        if (run != null) {
          remove(run);
        }
        cell.ended(this, end);
      }
    }
    long last = processedEnd;
    long born = entry.born();
    if (last > acknowledgedEnd) {
      cell.whenDurable(() -> acknowledge(born, last));
    }
  }

  private void acknowledge(long born, long last) {
    if (born == entry.born()) {
      acknowledgedEnd = Math.max(acknowledgedEnd, last);
    }
  }

  private void takeRunning(long sent, List<Running> running) {
    Set<TaskRun.Key> there = new HashSet<>();
    for (Running each : running) {
      TaskRun.Key key = new TaskRun.Key(each.task(), each.run());
      there.add(key);
      TaskRun run = runs.get(key);
      if (run == null) {
        takeFound(each);
      } else if (run.phase() == TaskRun.Phase.ORDERED) {
        run.running(timer.monotonicMillis());
        cell.started(this, run);
      } else if (run.phase() == TaskRun.Phase.RUNNING) {
        checkProgress(run, each.percent());
      }
      cell.saved(each.task(), each.checkpoint());
    }
    for (TaskRun run : List.copyOf(runs.values())) {
      if (!there.contains(run.key()) && run.isSettledBefore(sent)) {
        remove(run);
        cell.lost(this, run);
      }
    }
  }

  /** Stops a run that stands still, so that it starts elsewhere, and lets the worker rest. */
  private void checkProgress(TaskRun run, int percent) {
    long stalled = run.stalledMillis(percent, timer.monotonicMillis());
    long limit = cell.isGang(run.task()) ? STALLED_MILLIS : STALLED_ALONE_MILLIS;
    if (stalled > limit) {
      LOG.atInfo().log(
          "workers: stalled worker=%s task=%s run=%d percent=%d stalled_ms=%d",
          id(), run.task(), run.number(), percent, stalled);
      pause(FAILING_PAUSE_MILLIS);
      stop(run.task(), run.number());
    }
  }

  private void takeFound(Running running) {
    Found found = cell.found(this, running);
    TaskRun run = new TaskRun(running.task(), running.run(), found.demand(), TaskRun.Phase.RUNNING);
    run.running(timer.monotonicMillis());
    runs.put(run.key(), run);
    used = used.plus(run.demand());
    if (!found.wanted()) {
      stop(run.task(), run.number());
    }
  }

  private void reborn() {
    LOG.atInfo().log("workers: reborn worker=%s runs=%d", id(), runs.size());
    loseAll();
    processedEnd = 0;
    acknowledgedEnd = 0;
    leaseEndMillis = 0;
    answeredMillis = -1;
    clockMillis = 0;
  }

  private void loseAll() {
    List<TaskRun> all = new ArrayList<>(runs.values());
    runs.clear();
    used = Resources.NONE;
    all.forEach(run -> cell.lost(this, run));
  }

  private void remove(TaskRun run) {
    runs.remove(run.key());
    used = used.minus(run.demand());
  }
}
