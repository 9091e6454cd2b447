package org.vanillacove.state.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillacove.state.api.WorkerHealth;

/**
 * Tells failing workers from failing jobs.
 *
 * <p>A worker on which {@link #UNLIKE_FAMILIES} job families failed without a success between them
 * is quarantined, then on probation. A job that failed on {@link #UNLIKE_WORKERS} workers is at
 * fault itself: its failures no longer count against workers, and it backs off.
 */
final class FailureTracker {
  /** Families that must have failed on a worker for a quarantine. */
  static final int UNLIKE_FAMILIES = 3;

  /** Workers a job must have failed on to be at fault itself. */
  static final int UNLIKE_WORKERS = 3;

  /** Length of the first quarantine in milliseconds, doubled each time. */
  static final long QUARANTINE_MILLIS = 300_000;

  /** Successes that end a probation. */
  static final int PROBATION_SUCCESSES = 3;

  /** Times the length of a quarantine is doubled at most. */
  private static final int MAX_DOUBLINGS = 4;

  /** Share of the workers that may be in quarantine, as a divisor. */
  private static final int MAX_QUARANTINED_PART = 5;

  /** First wait of a job after a failure in milliseconds, doubled each time. */
  private static final long BACKOFF_MILLIS = 1_000;

  /** Shortest wait of a job that is at fault, in milliseconds. */
  private static final long FAULT_BACKOFF_MILLIS = 10_000;

  /** Longest wait of a job after a failure in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 600_000;

  /** Times the wait of a job is doubled at most. */
  private static final int MAX_DELAY_DOUBLINGS = 20;

  /** What is known of workers that failed tasks. */
  private final Map<String, Health> healths = new HashMap<>();

  /** Workers in quarantine. */
  private final List<WorkerState> quarantined = new ArrayList<>();

  /** Failures of one worker. */
  private static final class Health {
    /** Families that failed since the last success. */
    private final Set<JobFamily> failed = new HashSet<>();

    /** Quarantines so far. */
    private int quarantines;

    /** End of the quarantine in milliseconds. */
    private long untilMillis;

    /** Successes on probation. */
    private int successes;

    /** What led to the last quarantine. */
    private String reason = "";
  }

  /** Returns whether a job is at fault itself. */
  static boolean isAtFault(Job job) {
    return job.failedWorkers().size() >= UNLIKE_WORKERS && job.failures() >= UNLIKE_WORKERS;
  }

  /** Takes note of a success. */
  void succeeded(WorkerState worker, Job job) {
    job.succeeded();
    Health health = healths.get(worker.id());
    if (health == null) {
      return;
    }
    health.failed.clear();
    if (worker.isOnProbation() && ++health.successes >= PROBATION_SUCCESSES) {
      worker.setOnProbation(false);
      healths.remove(worker.id());
    }
  }

  /** Takes note of a failed attempt; the job waits before its next one. */
  void failed(WorkerState worker, Job job, long nowMillis, int workers) {
    job.countFailure(worker.id());
    long delay = BACKOFF_MILLIS << Math.min(job.failures() - 1, MAX_DELAY_DOUBLINGS);
    if (isAtFault(job)) {
      absolve(job);
      delay = Math.max(delay, FAULT_BACKOFF_MILLIS);
    } else {
      blame(worker, job, nowMillis, workers);
    }
    job.delayUntil(nowMillis + Math.min(delay, MAX_BACKOFF_MILLIS));
  }

  /** Takes note of an attempt that never took effect. */
  void notRun(WorkerState worker, Job job, long nowMillis, int workers) {
    job.avoid(worker.id());
    blame(worker, job, nowMillis, workers);
  }

  /** Puts workers on probation whose quarantine has ended, and returns them. */
  List<WorkerState> release(long nowMillis) {
    List<WorkerState> released = new ArrayList<>();
    quarantined.removeIf(
        worker -> {
          Health health = healths.get(worker.id());
          if (health != null && health.untilMillis > nowMillis) {
            return false;
          }
          worker.setQuarantined(false);
          worker.setOnProbation(true);
          released.add(worker);
          return true;
        });
    return released;
  }

  /** Returns what failures say about a worker, empty if it is trusted. */
  Optional<WorkerHealth> healthOf(WorkerState worker) {
    if (!worker.isQuarantined() && !worker.isOnProbation()) {
      return Optional.empty();
    }
    WorkerHealth.Phase phase =
        worker.isQuarantined() ? WorkerHealth.Phase.QUARANTINED : WorkerHealth.Phase.ON_PROBATION;
    Health health = healths.get(worker.id());
    return Optional.of(new WorkerHealth(worker.id(), phase, health == null ? "" : health.reason));
  }

  /** Puts a worker in quarantine or on probation as a former leader did; its term starts anew. */
  void restore(WorkerState worker, WorkerHealth known, long nowMillis) {
    Health health = healths.computeIfAbsent(worker.id(), id -> new Health());
    health.reason = known.reason();
    if (known.phase() == WorkerHealth.Phase.QUARANTINED && !worker.isQuarantined()) {
      quarantine(worker, health, nowMillis);
    } else if (known.phase() == WorkerHealth.Phase.ON_PROBATION) {
      worker.setOnProbation(true);
    }
  }

  /** Forgets all failures of a worker. */
  void trust(WorkerState worker) {
    quarantined.remove(worker);
    worker.setQuarantined(false);
    worker.setOnProbation(false);
    healths.remove(worker.id());
  }

  /** Returns the workers in quarantine. */
  List<WorkerState> quarantined() {
    return quarantined;
  }

  private void absolve(Job job) {
    JobFamily family = JobFamily.of(job.spec());
    for (String id : job.failedWorkers()) {
      Health health = healths.get(id);
      if (health != null) {
        health.failed.remove(family);
      }
    }
  }

  private void blame(WorkerState worker, Job job, long nowMillis, int workers) {
    Health health = healths.computeIfAbsent(worker.id(), id -> new Health());
    health.failed.add(JobFamily.of(job.spec()));
    boolean failing = worker.isOnProbation() || health.failed.size() >= UNLIKE_FAMILIES;
    boolean allowed = quarantined.size() < Math.max(1, workers / MAX_QUARANTINED_PART);
    if (failing && allowed && !worker.isQuarantined()) {
      health.reason = reason(worker, health);
      quarantine(worker, health, nowMillis);
    }
  }

  private void quarantine(WorkerState worker, Health health, long nowMillis) {
    health.untilMillis =
        nowMillis + (QUARANTINE_MILLIS << Math.min(health.quarantines, MAX_DOUBLINGS));
    health.quarantines++;
    health.successes = 0;
    health.failed.clear();
    worker.setOnProbation(false);
    worker.setQuarantined(true);
    quarantined.add(worker);
  }

  private static String reason(WorkerState worker, Health health) {
    String names =
        health.failed.stream()
            .map(family -> family.team() + "/" + family.name())
            .sorted()
            .collect(Collectors.joining(", "));
    return (worker.isOnProbation() ? "failed on probation: " : "unlike jobs failed: ") + names;
  }
}
