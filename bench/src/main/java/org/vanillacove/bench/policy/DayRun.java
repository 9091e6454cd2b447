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

/** Simulates a day of jobs and worker faults with a placer. */
final class DayRun {
  /** Time from the preemption of a task to its end, in milliseconds. */
  private static final long STOP_MILLIS = 500;

  /** Time from the loss of a worker until its tasks are known to have ended, in milliseconds. */
  private static final long LOST_TASK_TIMEOUT_MILLIS = 10_000;

  /** Run time of a task on a failing worker before it fails, in milliseconds. */
  private static final long FAIL_MILLIS = 1_000;

  /** Time after the day until the simulation ends, in milliseconds. */
  private static final long MAX_DRAIN_MILLIS = JobStream.DAY_MILLIS / 2;

  /** Placer under measurement. */
  private final Placer placer;

  /** Source of the random choices of failing workers and cancelled jobs. */
  private final RandomGenerator random;

  /** Scheduled events, ordered by time and then by order of scheduling. */
  private final PriorityQueue<Event> events = new PriorityQueue<>();

  /** Specifications of all workers, by identifier. */
  private final Map<String, WorkerSpec> workers = new LinkedHashMap<>();

  /** All jobs of the day, by identifier. */
  private final Map<String, PlannedJob> jobs = new HashMap<>();

  /** Running attempts by task. */
  private final Map<TaskId, Attempt> running = new LinkedHashMap<>();

  /** Run time saved by checkpoints, which is not repeated, by task, in milliseconds. */
  private final Map<TaskId, Long> checkpointedMillis = new HashMap<>();

  /** Resources committed to running tasks, by worker. */
  private final Map<String, Resources> committed = new HashMap<>();

  /** Identifiers of the workers on which every new task currently fails. */
  private final Set<String> failing = new HashSet<>();

  /** Identifiers of the cancelled jobs, which do not count as waiting. */
  private final Set<String> cancelled = new HashSet<>();

  /** Collects the figures of the run. */
  private final DayFigures figures;

  /** Sequence number of the next event or attempt. */
  private long nextSequence;

  /** Action at a simulated time; the sequence number orders events of the same time. */
  private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Long.compare(atMillis, other.atMillis);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  /** Running attempt; the sequence number tells apart attempts of the same task. */
  private record Attempt(TaskId task, String worker, long startedAtMillis, long sequence) {}

  DayRun(Placer placer, RandomGenerator random, DayFigures figures) {
    this.placer = placer;
    this.random = random;
    this.figures = figures;
  }

  /** Simulates the day and the drain time after it, and returns the figures. */
  DayFigures run(
      CellShape shape, List<PlannedJob> stream, PlacementSettings settings, boolean faults) {
    placer.configure(settings);
    for (WorkerSpec worker : shape.specs()) {
      workers.put(worker.id(), worker);
      placer.addWorker(worker);
    }
    for (PlannedJob job : stream) {
      jobs.put(job.id(), job);
      schedule(job.atMillis(), () -> submit(job));
    }
    if (faults) {
      addFaults();
    }
    long end = JobStream.DAY_MILLIS + MAX_DRAIN_MILLIS;
    for (long tick = 0; tick < end; tick += 60_000) {
      schedule(tick, () -> {});
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

  private void schedule(long millis, Runnable action) {
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
      schedule(now + FAIL_MILLIS, () -> end(attempt, TaskOutcome.FAILED, now + FAIL_MILLIS));
    } else if (job.runMillis() > 0) {
      long left = Math.max(1, job.runMillis() - checkpointedMillis.getOrDefault(start.task(), 0L));
      schedule(now + left / 2, () -> observe(attempt, job, now + left / 2));
      schedule(now + left, () -> end(attempt, TaskOutcome.SUCCEEDED, now + left));
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
    schedule(now + STOP_MILLIS, () -> end(attempt, TaskOutcome.PREEMPTED, now + STOP_MILLIS));
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
      checkpointedMillis.merge(attempt.task(), ran, Long::sum);
    }
    figures.ended(job, attempt.task(), outcome, ran, keeps);
    placer.taskEnded(attempt.task(), outcome, now);
  }

  private void addFaults() {
    long day = JobStream.DAY_MILLIS;
    List<String> ids = new ArrayList<>(workers.keySet());
    for (int i = 0; i < Math.max(1, ids.size() / 70); i++) {
      String id = ids.get(random.nextInt(ids.size()));
      schedule(day / 6, () -> failing.add(id));
      schedule(day / 6 + 1_800_000, () -> failing.remove(id));
    }
    for (int wave = 1; wave <= 3; wave++) {
      long time = day * wave / 4 + 300_000;
      schedule(time, () -> cancelWave(time));
    }
    String rack = workers.get(ids.getFirst()).rack();
    String zone = workers.get(ids.getLast()).zone().name();
    loseWorkers(day / 3, 3_600_000, w -> w.rack().equals(rack));
    loseWorkers(day * 5 / 8, 3_600_000, w -> w.zone().name().equals(zone));
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

  private void loseWorkers(long time, long length, Predicate<WorkerSpec> which) {
    List<WorkerSpec> gone = workers.values().stream().filter(which).toList();
    schedule(time, () -> gone.forEach(w -> placer.setWorkerStatus(w.id(), WorkerStatus.LOST)));
    schedule(
        time + LOST_TASK_TIMEOUT_MILLIS,
        () -> {
          Set<String> ids = new HashSet<>();
          gone.forEach(w -> ids.add(w.id()));
          for (Attempt attempt : List.copyOf(running.values())) {
            if (ids.contains(attempt.worker())) {
              boolean once =
                  jobs.get(attempt.task().jobId()).spec().rerun() == RerunPolicy.AT_MOST_ONCE;
              TaskOutcome outcome = once ? TaskOutcome.UNKNOWN : TaskOutcome.LOST;
              end(attempt, outcome, time + LOST_TASK_TIMEOUT_MILLIS);
            }
          }
        });
    schedule(time + length, () -> gone.forEach(placer::addWorker));
  }
}
