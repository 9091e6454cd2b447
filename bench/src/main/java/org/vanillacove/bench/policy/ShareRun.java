package org.vanillacove.bench.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;

/** Keeps every team's queue full and compares the usage of the teams with their quotas. */
final class ShareRun {
  /** Simulated duration of the run in milliseconds. */
  private static final long DURATION_MILLIS = 8 * 3_600_000L;

  /** Time from which usage is measured, in milliseconds. */
  private static final long MEASURED_FROM_MILLIS = 2 * 3_600_000L;

  /** Median run time of a task in milliseconds. */
  private static final long MEDIAN_RUN_MILLIS = 900_000;

  /** Time between two rounds of placement decisions, in milliseconds. */
  private static final long ROUND_MILLIS = 200;

  /** Number of jobs that each team keeps waiting. */
  private static final int BACKLOG_PER_TEAM = 4;

  /** Denominator of the fraction of a worker that a task takes. */
  private static final int TASKS_PER_WORKER = 32;

  /** Placer under measurement. */
  private final Placer placer;

  /** Cell whose workers run the tasks. */
  private final CellShape shape;

  /** Distribution of run times, relative to the median. */
  private final LogNormalDistribution runTimes;

  /** Planned ends of tasks ordered by time, including those of preempted tasks. */
  private final PriorityQueue<End> ends = new PriorityQueue<>();

  /** Planned ends of the running tasks, by task. */
  private final Map<TaskId, End> running = new HashMap<>();

  /** Teams, by job identifier. */
  private final Map<String, String> teams = new HashMap<>();

  /** Measured run time of tasks, by team, in milliseconds; all tasks have the same size. */
  private final Map<String, Double> usedByTeam = new HashMap<>();

  /** Identifiers of jobs that have started and were replaced in the queue. */
  private final Set<String> startedJobs = new HashSet<>();

  /** Number that gives the next job its identifier. */
  private int nextJob;

  /** Planned end of a running task. */
  private record End(long atMillis, TaskId task, String team, long startedAtMillis)
      implements Comparable<End> {
    @Override
    public int compareTo(End other) {
      int order = Long.compare(atMillis, other.atMillis);
      return order != 0 ? order : task.jobId().compareTo(other.task.jobId());
    }
  }

  ShareRun(Placer placer, CellShape shape, RandomGenerator random) {
    this.placer = placer;
    this.shape = shape;
    this.runTimes = new LogNormalDistribution(random, 0, 0.8);
  }

  /** Returns the maximum deviation of a team's usage share from its quota share, relative to it. */
  double maxRelativeError(Map<String, Resources> quotas) {
    placer.configure(new PlacementSettings(quotas, 3_600_000, 2));
    for (WorkerSpec worker : shape.specs()) {
      placer.addWorker(worker);
    }
    for (String team : quotas.keySet().stream().sorted().toList()) {
      for (int i = 0; i < BACKLOG_PER_TEAM; i++) {
        submit(team, 0);
      }
    }
    decide(0);
    for (long now = ROUND_MILLIS; now < DURATION_MILLIS; now += ROUND_MILLIS) {
      boolean ended = false;
      while (ends.peek().atMillis() <= now) {
        End end = ends.poll();
        if (running.remove(end.task(), end)) {
          addUsage(end, end.atMillis());
          placer.taskEnded(end.task(), TaskOutcome.SUCCEEDED, end.atMillis());
          ended = true;
        }
      }
      if (ended) {
        decide(now);
      }
    }
    running.values().forEach(end -> addUsage(end, DURATION_MILLIS));
    double all = usedByTeam.values().stream().mapToDouble(v -> v).sum();
    double weights = quotas.values().stream().mapToDouble(Resources::cpuMillis).sum();
    return quotas.entrySet().stream()
        .mapToDouble(
            e -> {
              double share = usedByTeam.getOrDefault(e.getKey(), 0.0) / all;
              return Math.abs(share / (e.getValue().cpuMillis() / weights) - 1);
            })
        .max()
        .orElse(0);
  }

  private void submit(String team, long now) {
    String id = "s" + nextJob++;
    Resources size =
        new Resources(
            shape.capacity().cpuMillis() / TASKS_PER_WORKER,
            shape.capacity().memoryMib() / TASKS_PER_WORKER / 2,
            0);
    teams.put(id, team);
    placer.submit(id, JobCatalog.batchTask(size, team, MEDIAN_RUN_MILLIS), now);
  }

  private void decide(long now) {
    boolean more = true;
    while (more) {
      more = false;
      for (PlacementDecision decision : placer.decide(now, 1_000)) {
        more = true;
        switch (decision) {
          case PlacementDecision.Start start -> start(start.task(), now);
          case PlacementDecision.Preempt preempt -> {
            addUsage(running.remove(preempt.task()), now);
            placer.taskEnded(preempt.task(), TaskOutcome.PREEMPTED, now);
          }
        }
      }
    }
  }

  private void start(TaskId task, long now) {
    String team = teams.get(task.jobId());
    End end = new End(now + (long) (MEDIAN_RUN_MILLIS * runTimes.sample()), task, team, now);
    ends.add(end);
    running.put(task, end);
    if (startedJobs.add(task.jobId())) {
      submit(team, now);
    }
  }

  private void addUsage(End end, long now) {
    long from = Math.max(end.startedAtMillis(), MEASURED_FROM_MILLIS);
    usedByTeam.merge(end.team(), (double) Math.max(0, now - from), Double::sum);
  }
}
