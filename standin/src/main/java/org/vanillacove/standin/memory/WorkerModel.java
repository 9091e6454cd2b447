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
 */
public final class WorkerModel {
  /** The worker. */
  private final WorkerSpec spec;

  /** Source of time. */
  private final TimerService timer;

  /** Decides how long a started attempt runs in milliseconds and how it ends. */
  private final RunPlan plan;

  /** Running attempts by task. */
  private final Map<TaskId, Run> running = new LinkedHashMap<>();

  /** Attempts that ended and were not reported yet. */
  private final List<TaskReport> ended = new ArrayList<>();

  /** Number of starts by task. */
  private final Map<TaskId, Integer> starts = new HashMap<>();

  /** Highest epoch seen. */
  private long epoch;

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
      case WorkerCommand.Fence fence -> report();
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
    epoch = 0;
  }

  private WorkerReply start(WorkerCommand.Start start) {
    Run present = running.get(start.task());
    if (present != null && present.start.attempt() == start.attempt()) {
      return report();
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
    running.put(start.task(), new Run(start, now + start.leaseMillis(), endsAt, outcome));
    starts.merge(start.task(), 1, Integer::sum);
    return report();
  }

  private WorkerReply stop(WorkerCommand.Stop stop) {
    Run run = running.get(stop.task());
    if (run != null && run.start.attempt() == stop.attempt()) {
      running.remove(stop.task());
      ended.add(reportOf(run, Optional.of(TaskOutcome.CANCELLED)));
    }
    return report();
  }

  private WorkerReply throttle(WorkerCommand.Throttle throttle) {
    boolean present = running.containsKey(throttle.task());
    return present ? report() : new WorkerReply.Refused("task does not run");
  }

  private WorkerReply renew(WorkerCommand.Renew renew) {
    long until = timer.monotonicMillis() + renew.leaseMillis();
    for (Run run : running.values()) {
      if (!renew.keepOnly() || run.start.loss() == LossPolicy.KEEP) {
        run.leaseUntilMillis = Math.max(run.leaseUntilMillis, until);
      }
    }
    return report();
  }

  private WorkerReply report() {
    List<TaskReport> reports = new ArrayList<>(ended);
    ended.clear();
    running.values().forEach(run -> reports.add(reportOf(run, Optional.empty())));
    return new WorkerReply.Done(epoch, reports);
  }

  private void expire() {
    long now = timer.monotonicMillis();
    Iterator<Run> runs = running.values().iterator();
    while (runs.hasNext()) {
      Run run = runs.next();
      if (run.endsAtMillis <= Math.min(now, run.leaseUntilMillis)) {
        runs.remove();
        ended.add(reportOf(run, Optional.of(run.outcome)));
      } else if (run.leaseUntilMillis <= now) {
        runs.remove();
        ended.add(reportOf(run, Optional.of(TaskOutcome.LOST)));
      }
    }
  }

  private static TaskReport reportOf(Run run, Optional<TaskOutcome> outcome) {
    return new TaskReport(run.start.task(), run.start.attempt(), outcome, run.start.resources());
  }

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
