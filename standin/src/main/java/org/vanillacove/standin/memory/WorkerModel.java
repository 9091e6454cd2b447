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
 * A worker that runs tasks under leases: rejects old epochs, stops tasks whose lease lapsed and
 * counts every start; thread-safe.
 *
 * <p>A fence is answered with the whole inventory, a renewal with what changed since the last
 * renewal, any other command with the attempt that it names.
 */
public final class WorkerModel {
  /** Time for which inventories show an attempt after its end, in milliseconds. */
  private static final long RETENTION_MILLIS = 90_000;

  /** The worker. */
  private final WorkerSpec spec;

  /** Source of time. */
  private final TimerService timer;

  /** Decides how long a started attempt runs in milliseconds and how it ends. */
  private final RunPlan plan;

  /** Running attempts by task. */
  private final Map<TaskId, Run> running = new LinkedHashMap<>();

  /** Attempts that ended within the retention time, oldest first. */
  private final List<EndedRun> ended = new ArrayList<>();

  /** Attempts that started or ended since the last renewal. */
  private final Map<Attempt, TaskReport> changed = new LinkedHashMap<>();

  /** Number of starts by task. */
  private final Map<TaskId, Integer> starts = new HashMap<>();

  /** Highest epoch seen. */
  private long epoch;

  /** Whether the inventory was read since the worker began to run. */
  private boolean inventoryRead;

  /** Creates a worker that runs nothing. */
  public WorkerModel(WorkerSpec spec, TimerService timer, RunPlan plan) {
    this.spec = spec;
    this.timer = timer;
    this.plan = plan;
  }

  /** Decides how an attempt runs. */
  @FunctionalInterface
  public interface RunPlan {
    /** Returns how long the attempt runs and how it ends, empty if it runs until stopped. */
    Optional<PlannedEnd> plan(WorkerCommand.Start start);
  }

  /**
   * The end of an attempt that ends by itself.
   *
   * @param afterMillis run time in milliseconds
   * @param outcome how it ends
   */
  public record PlannedEnd(long afterMillis, TaskOutcome outcome) {}

  /** Returns the worker. */
  public WorkerSpec spec() {
    return spec;
  }

  /** Handles a command. */
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

  /** Returns the tasks that run now. */
  public synchronized Set<TaskId> runningTasks() {
    expire();
    return Set.copyOf(running.keySet());
  }

  /** Returns how often a task was started here. */
  public synchronized int startCount(TaskId task) {
    return starts.getOrDefault(task, 0);
  }

  /** Returns the sum of resources committed to running tasks. */
  public synchronized Resources committed() {
    expire();
    return running.values().stream()
        .map(run -> run.start.resources())
        .reduce(Resources.NONE, Resources::plus);
  }

  /** Loses all tasks, as a reboot does; the epoch is forgotten too. */
  public synchronized void reboot() {
    running.clear();
    ended.clear();
    changed.clear();
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
      return new WorkerReply.Refused("another attempt of " + start.task() + " runs");
    }
    Resources total = committed().plus(start.resources());
    if (!total.fitsIn(spec.capacity())) {
      return new WorkerReply.Refused("capacity exceeded");
    }
    long now = timer.monotonicMillis();
    Optional<PlannedEnd> end = plan.plan(start);
    long endsAt = end.map(planned -> now + planned.afterMillis()).orElse(Long.MAX_VALUE);
    TaskOutcome outcome = end.map(PlannedEnd::outcome).orElse(TaskOutcome.SUCCEEDED);
    Run run = new Run(start, now + start.leaseMillis(), endsAt, outcome);
    running.put(start.task(), run);
    starts.merge(start.task(), 1, Integer::sum);
    note(reportOf(run, Optional.empty()));
    return report(start.task(), start.attempt());
  }

  private WorkerReply stop(WorkerCommand.Stop stop) {
    Run run = running.get(stop.task());
    if (run != null && run.start.attempt() == stop.attempt()) {
      running.remove(stop.task());
      end(run, TaskOutcome.CANCELLED);
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
      return new WorkerReply.Refused("the inventory was not read yet");
    }
    long until = timer.monotonicMillis() + renew.leaseMillis();
    for (Run run : running.values()) {
      if (!renew.keepOnly() || run.start.loss() == LossPolicy.KEEP) {
        run.leaseUntilMillis = Math.max(run.leaseUntilMillis, until);
      }
    }
    List<TaskReport> reports = List.copyOf(changed.values());
    changed.clear();
    return new WorkerReply.Done(epoch, reports);
  }

  /** Returns all attempts that run or ended within the retention time. */
  private WorkerReply inventory() {
    inventoryRead = true;
    List<TaskReport> reports = new ArrayList<>();
    ended.forEach(run -> reports.add(run.report));
    running.values().forEach(run -> reports.add(reportOf(run, Optional.empty())));
    return new WorkerReply.Done(epoch, reports);
  }

  /** Returns a reply with the one attempt, empty if it neither runs nor ended lately. */
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

  private void end(Run run, TaskOutcome outcome) {
    TaskReport report = reportOf(run, Optional.of(outcome));
    ended.add(new EndedRun(report, timer.monotonicMillis()));
    note(report);
  }

  private void note(TaskReport report) {
    changed.put(new Attempt(report.task(), report.attempt()), report);
  }

  private void expire() {
    long now = timer.monotonicMillis();
    Iterator<Run> runs = running.values().iterator();
    while (runs.hasNext()) {
      Run run = runs.next();
      if (run.endsAtMillis <= Math.min(now, run.leaseUntilMillis)) {
        runs.remove();
        end(run, run.outcome);
      } else if (run.leaseUntilMillis <= now) {
        runs.remove();
        end(run, TaskOutcome.LOST);
      }
    }
    ended.removeIf(run -> now - run.atMillis > RETENTION_MILLIS);
  }

  private static TaskReport reportOf(Run run, Optional<TaskOutcome> outcome) {
    return new TaskReport(run.start.task(), run.start.attempt(), outcome, run.start.resources());
  }

  /**
   * An attempt of a task.
   *
   * @param task the task
   * @param number number of the attempt
   */
  private record Attempt(TaskId task, int number) {}

  /**
   * An attempt that ended.
   *
   * @param report what is told of it
   * @param atMillis monotonic time at which the end was noticed, in milliseconds
   */
  private record EndedRun(TaskReport report, long atMillis) {}

  /** A running attempt. */
  private static final class Run {
    /** The command that started it. */
    private final WorkerCommand.Start start;

    /** Monotonic time at which it ends by itself, in milliseconds. */
    private final long endsAtMillis;

    /** How it ends by itself. */
    private final TaskOutcome outcome;

    /** Monotonic time at which its lease lapses, in milliseconds. */
    private long leaseUntilMillis;

    Run(WorkerCommand.Start start, long leaseUntilMillis, long endsAtMillis, TaskOutcome outcome) {
      this.start = start;
      this.leaseUntilMillis = leaseUntilMillis;
      this.endsAtMillis = endsAtMillis;
      this.outcome = outcome;
    }
  }
}
