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

/** Keeps every team's queue full and compares what teams get with what their quotas entitle to. */
final class ShareRun {
  /** Length of the run in milliseconds. */
  private static final long LENGTH_MILLIS = 8 * 3_600_000L;

  /** Start of the part that is measured, in milliseconds. */
  private static final long MEASURED_FROM_MILLIS = 2 * 3_600_000L;

  /** Median run time of a task in milliseconds. */
  private static final long RUN_MILLIS = 900_000;

  /** Time between two rounds of decisions in milliseconds. */
  private static final long ROUND_MILLIS = 200;

  /** Jobs each team keeps waiting. */
  private static final int BACKLOG = 4;

  /** Parts of a worker that a task takes. */
  private static final int PARTS = 32;

  /** Placer under measurement. */
  private final Placer placer;

  /** Cell. */
  private final CellShape shape;

  /** Run times. */
  private final LogNormalDistribution runs;

  /** Ends of running tasks. */
  private final PriorityQueue<End> ends = new PriorityQueue<>();

  /** Ends of running tasks by task. */
  private final Map<TaskId, End> running = new HashMap<>();

  /** Teams by job. */
  private final Map<String, String> teams = new HashMap<>();

  /** Processor time each team got, in core milliseconds. */
  private final Map<String, Double> got = new HashMap<>();

  /** Jobs that have started. */
  private final Set<String> seen = new HashSet<>();

  /** Number of the next job. */
  private int nextJob;

  /** End of a task. */
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
    this.runs = new LogNormalDistribution(random, 0, 0.8);
  }

  /** Returns the largest error of a team's share, relative to what it is entitled to. */
  double largestError(Map<String, Resources> quotas) {
    placer.configure(new PlacementSettings(quotas, 3_600_000, 2));
    for (WorkerSpec worker : shape.specs()) {
      placer.addWorker(worker);
    }
    for (String team : quotas.keySet().stream().sorted().toList()) {
      for (int i = 0; i < BACKLOG; i++) {
        submit(team, 0);
      }
    }
    decide(0);
    for (long now = ROUND_MILLIS; now < LENGTH_MILLIS; now += ROUND_MILLIS) {
      boolean ended = false;
      while (ends.peek().atMillis() <= now) {
        End end = ends.poll();
        if (running.remove(end.task(), end)) {
          count(end, end.atMillis());
          placer.taskEnded(end.task(), TaskOutcome.SUCCEEDED, end.atMillis());
          ended = true;
        }
      }
      if (ended) {
        decide(now);
      }
    }
    running.values().forEach(end -> count(end, LENGTH_MILLIS));
    double all = got.values().stream().mapToDouble(v -> v).sum();
    double weights = quotas.values().stream().mapToDouble(Resources::cpuMillis).sum();
    return quotas.entrySet().stream()
        .mapToDouble(
            e -> {
              double share = got.getOrDefault(e.getKey(), 0.0) / all;
              return Math.abs(share / (e.getValue().cpuMillis() / weights) - 1);
            })
        .max()
        .orElse(0);
  }

  private void submit(String team, long now) {
    String id = "s" + nextJob++;
    Resources size =
        new Resources(
            shape.capacity().cpuMillis() / PARTS, shape.capacity().memoryMib() / PARTS / 2, 0);
    teams.put(id, team);
    placer.submit(id, JobCatalog.endless(size, team, RUN_MILLIS), now);
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
            count(running.remove(preempt.task()), now);
            placer.taskEnded(preempt.task(), TaskOutcome.PREEMPTED, now);
          }
        }
      }
    }
  }

  private void start(TaskId task, long now) {
    String team = teams.get(task.jobId());
    End end = new End(now + (long) (RUN_MILLIS * runs.sample()), task, team, now);
    ends.add(end);
    running.put(task, end);
    if (seen.add(task.jobId())) {
      submit(team, now);
    }
  }

  private void count(End end, long now) {
    long from = Math.max(end.startedAtMillis(), MEASURED_FROM_MILLIS);
    got.merge(end.team(), (double) Math.max(0, now - from), Double::sum);
  }
}
