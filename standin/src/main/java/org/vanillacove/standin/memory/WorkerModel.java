package org.vanillacove.standin.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;

/**
 * A simulated worker that runs tasks under leases. It rejects commands of old epochs, stops tasks
 * whose lease expired and counts every start. Thread-safe.
 *
 * <p>The reply to a fence holds the full inventory, the reply to a renewal the attempts that
 * changed since the previous renewal, and any other reply the attempt named by the command.
 */
public final class WorkerModel {
  /** Time for which an ended attempt stays in the inventory, in milliseconds. */
  private static final long RETENTION_MILLIS = 90_000;

  /** Identity, location and capacity of the worker. */
  private final WorkerSpec spec;

  /** Monotonic clock for leases and run times. */
  private final TimerService timer;

  /** Determines the run time and the outcome of each started attempt. */
  private final RunPlan plan;

  /** Running attempts by task. */
  private final Map<TaskId, Run> running = new LinkedHashMap<>();

  /** Attempts that ended within the retention time, oldest first. */
  private final List<EndedRun> ended = new ArrayList<>();

  /** Attempts that started or ended since the previous renewal. */
  private final Map<Attempt, TaskReport> changedSinceRenewal = new LinkedHashMap<>();

  /** Number of starts by task. */
  private final Map<TaskId, Integer> starts = new HashMap<>();

  /** Highest epoch of the commands received since the last reboot. */
  private long epoch;

  /** Whether a fence has read the inventory since the last reboot. */
  private boolean inventoryRead;

  /** Creates a worker without running tasks. */
  public WorkerModel(WorkerSpec spec, TimerService timer, RunPlan plan) {
    this.spec = spec;
    this.timer = timer;
    this.plan = plan;
  }

  /** Determines the run time and the outcome of attempts. */
  @FunctionalInterface
  public interface RunPlan {
    /** Returns the planned end of an attempt, empty if it runs until it is stopped. */
    Optional<PlannedEnd> plan(WorkerCommand.Start start);
  }

  /**
   * The planned end of an attempt that no command stops earlier.
   *
   * @param afterMillis run time in milliseconds
   * @param outcome outcome that is reported at the end
   */
  public record PlannedEnd(long afterMillis, TaskOutcome outcome) {}

  /** Returns the identity, location and capacity of the worker. */
  public WorkerSpec spec() {
    return spec;
  }

  /** Applies a command and returns the reply. */
  public synchronized WorkerReply handle(WorkerCommand command) {
    expire();
    if (command.epoch() < epoch) {
      return new WorkerReply.Stale(epoch);
    }
    epoch = command.epoch();
    return switch (command) {
      case WorkerCommand.Fence fence -> inventory();
      case WorkerCommand.Start start -> start(start);
      case WorkerCommand.Stop stop -> stop(stop);
      case WorkerCommand.Throttle throttle -> throttle(throttle);
      case WorkerCommand.Renew renew -> renew(renew);
    };
  }

  /** Returns the running tasks. */
  public synchronized Set<TaskId> runningTasks() {
    expire();
    return Set.copyOf(running.keySet());
  }

  /** Returns how often a task was started on this worker. */
  public synchronized int startCount(TaskId task) {
    return starts.getOrDefault(task, 0);
  }

  /** Returns the sum of the resources of all running tasks. */
  public synchronized Resources committed() {
    expire();
    return running.values().stream()
        .map(run -> run.start.resources())
        .reduce(Resources.NONE, Resources::plus);
  }

  /** Drops all tasks, the inventory and the epoch, as a reboot does. */
  public synchronized void reboot() {
    running.clear();
    ended.clear();
    changedSinceRenewal.clear();
    inventoryRead = false;
    epoch = 0;
  }

  private WorkerReply start(WorkerCommand.Start start) {
    Run present = running.get(start.task());
    boolean known = present != null && present.start.attempt() == start.attempt();
    if (known || endOf(start.task(), start.attempt()).isPresent()) {
      return report(start.task(), start.attempt());
    }
    if (present != null) {
      return new WorkerReply.Refused("another attempt of " + start.task() + " is running");
    }
    Resources total = committed().plus(start.resources());
    if (!total.fitsIn(spec.capacity())) {
      return new WorkerReply.Refused("task exceeds the free capacity of the worker");
    }
    long now = timer.monotonicMillis();
    Optional<PlannedEnd> end = plan.plan(start);
    long endsAt = end.map(planned -> now + planned.afterMillis()).orElse(Long.MAX_VALUE);
    TaskOutcome outcome = end.map(PlannedEnd::outcome).orElse(TaskOutcome.SUCCEEDED);
    Run run = new Run(start, now + start.leaseMillis(), endsAt, outcome);
    running.put(start.task(), run);
    starts.merge(start.task(), 1, Integer::sum);
    recordChange(reportOf(run, Optional.empty()));
    return report(start.task(), start.attempt());
  }

  private WorkerReply stop(WorkerCommand.Stop stop) {
    Run run = running.get(stop.task());
    if (run != null && run.start.attempt() == stop.attempt()) {
      running.remove(stop.task());
      recordEnd(run, TaskOutcome.CANCELLED);
    }
    return report(stop.task(), stop.attempt());
  }

  private WorkerReply throttle(WorkerCommand.Throttle throttle) {
    boolean present = running.containsKey(throttle.task());
    return present
        ? report(throttle.task(), throttle.attempt())
        : new WorkerReply.Refused("task does not run");
  }

  private WorkerReply renew(WorkerCommand.Renew renew) {
    if (!inventoryRead) {
      return new WorkerReply.Refused("inventory was not read since the worker started");
    }
    long until = timer.monotonicMillis() + renew.leaseMillis();
    for (Run run : running.values()) {
      if (!renew.keepOnly() || run.start.loss() == LossPolicy.KEEP) {
        run.leaseUntilMillis = Math.max(run.leaseUntilMillis, until);
      }
    }
    List<TaskReport> reports = List.copyOf(changedSinceRenewal.values());
    changedSinceRenewal.clear();
    return new WorkerReply.Done(epoch, reports);
  }

  /** Returns a reply with all running attempts and those that ended within the retention time. */
  private WorkerReply inventory() {
    inventoryRead = true;
    List<TaskReport> reports = new ArrayList<>();
    ended.forEach(run -> reports.add(run.report));
    running.values().forEach(run -> reports.add(reportOf(run, Optional.empty())));
    return new WorkerReply.Done(epoch, reports);
  }

  /** Returns a reply with one attempt, or an empty reply if the inventory does not hold it. */
  private WorkerReply report(TaskId task, int attempt) {
    Run run = running.get(task);
    Optional<TaskReport> report =
        run != null && run.start.attempt() == attempt
            ? Optional.of(reportOf(run, Optional.empty()))
            : endOf(task, attempt);
    return new WorkerReply.Done(epoch, report.stream().toList());
  }

  private Optional<TaskReport> endOf(TaskId task, int attempt) {
    return ended.stream()
        .map(run -> run.report)
        .filter(report -> report.task().equals(task) && report.attempt() == attempt)
        .findFirst();
  }

  private void recordEnd(Run run, TaskOutcome outcome) {
    TaskReport report = reportOf(run, Optional.of(outcome));
    ended.add(new EndedRun(report, timer.monotonicMillis()));
    recordChange(report);
  }

  private void recordChange(TaskReport report) {
    changedSinceRenewal.put(new Attempt(report.task(), report.attempt()), report);
  }

  private void expire() {
    long now = timer.monotonicMillis();
    Iterator<Run> runs = running.values().iterator();
    while (runs.hasNext()) {
      Run run = runs.next();
      if (run.endsAtMillis <= Math.min(now, run.leaseUntilMillis)) {
        runs.remove();
        recordEnd(run, run.outcome);
      } else if (run.leaseUntilMillis <= now) {
        runs.remove();
        recordEnd(run, TaskOutcome.LOST);
      }
    }
    ended.removeIf(run -> now - run.atMillis > RETENTION_MILLIS);
  }

  private static TaskReport reportOf(Run run, Optional<TaskOutcome> outcome) {
    return new TaskReport(run.start.task(), run.start.attempt(), outcome, run.start.resources());
  }

  /**
   * Identity of an attempt.
   *
   * @param task task that was started
   * @param number number of the attempt among those of the task
   */
  private record Attempt(TaskId task, int number) {}

  /**
   * An attempt that ended.
   *
   * @param report report with the outcome
   * @param atMillis monotonic time at which the end was detected, in milliseconds
   */
  private record EndedRun(TaskReport report, long atMillis) {}

  /** A running attempt with its lease and its planned end. */
  private static final class Run {
    /** Command that started the attempt. */
    private final WorkerCommand.Start start;

    /** Monotonic time of the planned end in milliseconds, the maximum if there is none. */
    private final long endsAtMillis;

    /** Outcome at the planned end. */
    private final TaskOutcome outcome;

    /** Monotonic time at which the lease expires, in milliseconds. */
    private long leaseUntilMillis;

    Run(WorkerCommand.Start start, long leaseUntilMillis, long endsAtMillis, TaskOutcome outcome) {
      this.start = start;
      this.leaseUntilMillis = leaseUntilMillis;
      this.endsAtMillis = endsAtMillis;
      this.outcome = outcome;
    }
  }
}
