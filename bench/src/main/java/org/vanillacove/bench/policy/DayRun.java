package org.vanillacove.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.commons.math3.random.RandomGenerator;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Placer;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/** Drives a placer through a stream of jobs, with what fails on the way. */
final class DayRun {
  /** Time a stopped task takes to end, in milliseconds. */
  private static final long STOP_MILLIS = 500;

  /** Time until a lost worker's tasks are known to have ended, in milliseconds. */
  private static final long LAPSE_MILLIS = 10_000;

  /** Time a failing worker takes to fail a task, in milliseconds. */
  private static final long FAIL_MILLIS = 1_000;

  /** Longest time after the day until the run is ended, in milliseconds. */
  private static final long DRAIN_MILLIS = JobStream.DAY_MILLIS / 2;

  /** Placer under measurement. */
  private final Placer placer;

  /** Source of choices. */
  private final RandomGenerator random;

  /** What happens, by time. */
  private final PriorityQueue<Event> events = new PriorityQueue<>();

  /** Workers by identifier. */
  private final Map<String, WorkerSpec> workers = new LinkedHashMap<>();

  /** Jobs by identifier. */
  private final Map<String, PlannedJob> jobs = new HashMap<>();

  /** Running attempts by task. */
  private final Map<TaskId, Attempt> running = new LinkedHashMap<>();

  /** Work of checkpointed tasks that need not be done again, in milliseconds. */
  private final Map<TaskId, Long> saved = new HashMap<>();

  /** What is committed by worker. */
  private final Map<String, Resources> committed = new HashMap<>();

  /** Workers that fail everything now. */
  private final Set<String> failing = new HashSet<>();

  /** Cancelled jobs. */
  private final Set<String> cancelled = new HashSet<>();

  /** Figures gathered. */
  private final DayFigures figures;

  /** Number of the next event. */
  private long nextSequence;

  /** Something that happens at a time. */
  private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Long.compare(atMillis, other.atMillis);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  /** A running attempt. */
  private record Attempt(TaskId task, String worker, long startedAtMillis, long sequence) {}

  DayRun(Placer placer, RandomGenerator random, DayFigures figures) {
    this.placer = placer;
    this.random = random;
    this.figures = figures;
  }

  /** Runs the day and what remains of it, and returns the figures. */
  DayFigures run(
      CellShape shape, List<PlannedJob> stream, PlacementSettings settings, boolean faults) {
    placer.configure(settings);
    for (WorkerSpec worker : shape.specs()) {
      workers.put(worker.id(), worker);
      placer.addWorker(worker);
    }
    for (PlannedJob job : stream) {
      jobs.put(job.id(), job);
      at(job.atMillis(), () -> submit(job));
    }
    if (faults) {
      addFaults();
    }
    long end = JobStream.DAY_MILLIS + DRAIN_MILLIS;
    for (long tick = 0; tick < end; tick += 60_000) {
      at(tick, () -> {});
    }
    while (!events.isEmpty() && events.peek().atMillis() < end) {
      long now = events.peek().atMillis();
      while (!events.isEmpty() && events.peek().atMillis() == now) {
        events.poll().action().run();
      }
      decide(now);
    }
    jobs.values().stream()
        .filter(job -> !cancelled.contains(job.id()))
        .forEach(job -> closeWaits(job, end));
    return figures;
  }

  private void closeWaits(PlannedJob job, long end) {
    boolean waits = figures.closeWaits(job, end);
    if (waits) {
      placer.explain(job.id(), end).ifPresent(reason -> figures.countReason(reason.constraint()));
    }
  }

  private void at(long millis, Runnable action) {
    events.add(new Event(millis, nextSequence++, action));
  }

  private void submit(PlannedJob job) {
    placer.submit(job.id(), job.spec(), job.atMillis());
  }

  private void decide(long now) {
    List<PlacementDecision> decisions = placer.decide(now, 1_000);
    while (!decisions.isEmpty()) {
      for (PlacementDecision decision : decisions) {
        switch (decision) {
          case PlacementDecision.Start start -> start(start, now);
          case PlacementDecision.Preempt preempt -> preempt(preempt, now);
        }
      }
      decisions = placer.decide(now, 1_000);
    }
  }

  private void start(PlacementDecision.Start start, long now) {
    PlannedJob job = jobs.get(start.task().jobId());
    Attempt attempt = new Attempt(start.task(), start.workerId(), now, nextSequence++);
    if (running.put(start.task(), attempt) != null) {
      figures.countDuplicate();
    }
    Resources sum = committed.merge(start.workerId(), job.spec().resources(), Resources::plus);
    if (!sum.fitsIn(workers.get(start.workerId()).capacity())) {
      figures.countOverCapacity();
    }
    figures.started(job, start.task(), now);
    if (failing.contains(start.workerId())) {
      at(now + FAIL_MILLIS, () -> end(attempt, TaskOutcome.FAILED, now + FAIL_MILLIS));
    } else if (job.runMillis() > 0) {
      long left = Math.max(1, job.runMillis() - saved.getOrDefault(start.task(), 0L));
      at(now + left / 2, () -> observe(attempt, job, now + left / 2));
      at(now + left, () -> end(attempt, TaskOutcome.SUCCEEDED, now + left));
    }
  }

  private void observe(Attempt attempt, PlannedJob job, long now) {
    if (attempt.equals(running.get(attempt.task()))) {
      Resources size = job.spec().resources();
      placer.observeUsage(
          attempt.task(),
          new Resources(
              (long) (size.cpuMillis() * job.useFactor()),
              (long) (size.memoryMib() * job.useFactor()),
              size.accelerators()),
          now);
    }
  }

  private void preempt(PlacementDecision.Preempt preempt, long now) {
    Attempt attempt = running.get(preempt.task());
    at(now + STOP_MILLIS, () -> end(attempt, TaskOutcome.PREEMPTED, now + STOP_MILLIS));
  }

  private void end(Attempt attempt, TaskOutcome outcome, long now) {
    if (!attempt.equals(running.get(attempt.task()))) {
      return;
    }
    PlannedJob job = jobs.get(attempt.task().jobId());
    running.remove(attempt.task());
    committed.computeIfPresent(attempt.worker(), (id, sum) -> sum.minus(job.spec().resources()));
    long ran = now - attempt.startedAtMillis();
    boolean keeps = outcome == TaskOutcome.PREEMPTED && job.spec().checkpointable();
    if (keeps) {
      saved.merge(attempt.task(), ran, Long::sum);
    }
    figures.ended(job, attempt.task(), outcome, ran, keeps);
    placer.taskEnded(attempt.task(), outcome, now);
  }

  private void addFaults() {
    long day = JobStream.DAY_MILLIS;
    List<String> ids = new ArrayList<>(workers.keySet());
    for (int i = 0; i < Math.max(1, ids.size() / 70); i++) {
      String id = ids.get(random.nextInt(ids.size()));
      at(day / 6, () -> failing.add(id));
      at(day / 6 + 1_800_000, () -> failing.remove(id));
    }
    for (int wave = 1; wave <= 3; wave++) {
      long time = day * wave / 4 + 300_000;
      at(time, () -> cancelWave(time));
    }
    String rack = workers.get(ids.getFirst()).rack();
    String zone = workers.get(ids.getLast()).zone().name();
    lose(day / 3, 3_600_000, w -> w.rack().equals(rack));
    lose(day * 5 / 8, 3_600_000, w -> w.zone().name().equals(zone));
  }

  private void cancelWave(long now) {
    for (PlannedJob job : List.copyOf(jobs.values())) {
      if (job.atMillis() <= now && job.runMillis() > 0 && random.nextInt(20) == 0) {
        cancelled.add(job.id());
        placer.cancel(job.id());
        for (Attempt attempt : List.copyOf(running.values())) {
          if (attempt.task().jobId().equals(job.id())) {
            end(attempt, TaskOutcome.CANCELLED, now);
          }
        }
      }
    }
  }

  private void lose(long time, long length, Predicate<WorkerSpec> which) {
    List<WorkerSpec> gone = workers.values().stream().filter(which).toList();
    at(time, () -> gone.forEach(w -> placer.setWorkerStatus(w.id(), WorkerStatus.LOST)));
    at(
        time + LAPSE_MILLIS,
        () -> {
          Set<String> ids = new HashSet<>();
          gone.forEach(w -> ids.add(w.id()));
          for (Attempt attempt : List.copyOf(running.values())) {
            if (ids.contains(attempt.worker())) {
              boolean once =
                  jobs.get(attempt.task().jobId()).spec().rerun() == RerunPolicy.AT_MOST_ONCE;
              TaskOutcome outcome = once ? TaskOutcome.UNKNOWN : TaskOutcome.LOST;
              end(attempt, outcome, time + LAPSE_MILLIS);
            }
          }
        });
    at(time + length, () -> gone.forEach(placer::addWorker));
  }
}
