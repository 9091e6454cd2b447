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
 * Decides whether failures are caused by the worker or by the job.
 *
 * <p>A worker on which {@link #MIN_FAILED_FAMILIES} job families failed without a success in
 * between is quarantined, then on probation. A job that failed on {@link #MIN_FAILED_WORKERS}
 * workers is itself at fault: its failures no longer count against workers, and it backs off for
 * longer.
 */
final class FailureTracker {
  /** Number of job families that must fail on a worker before it is quarantined. */
  static final int MIN_FAILED_FAMILIES = 3;

  /** Number of workers on which a job must fail before the job itself is at fault. */
  static final int MIN_FAILED_WORKERS = 3;

  /** Duration of the first quarantine in milliseconds; doubled for each further one. */
  static final long INITIAL_QUARANTINE_MILLIS = 300_000;

  /** Number of successful tasks that end a probation. */
  static final int PROBATION_SUCCESSES = 3;

  /** Maximum number of times that the duration of a quarantine is doubled. */
  private static final int MAX_QUARANTINE_DOUBLINGS = 4;

  /** At most one worker in this many may be quarantined at a time, but always one. */
  private static final int QUARANTINED_WORKERS_DIVISOR = 5;

  /** Backoff after the first failure of a job in milliseconds; doubled for each further one. */
  private static final long INITIAL_BACKOFF_MILLIS = 1_000;

  /** Minimum backoff of a job that is at fault, in milliseconds. */
  private static final long MIN_FAULTY_JOB_BACKOFF_MILLIS = 10_000;

  /** Maximum backoff of a job after a failure, in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 600_000;

  /** Maximum number of times that a backoff is doubled; keeps the shift from overflowing. */
  private static final int MAX_BACKOFF_DOUBLINGS = 20;

  /** Failure records by worker identifier; workers without recorded failures have none. */
  private final Map<String, Health> healthByWorker = new HashMap<>();

  /** Workers currently quarantined, in the order in which they were quarantined. */
  private final List<WorkerState> quarantined = new ArrayList<>();

  /** Failure record of one worker. */
  private static final class Health {
    /** Job families that failed on the worker since its last success. */
    private final Set<JobFamily> failedFamilies = new HashSet<>();

    /** Number of quarantines so far. */
    private int quarantines;

    /** End of the current or last quarantine in milliseconds. */
    private long untilMillis;

    /** Number of successes since the probation began. */
    private int successes;

    /** Cause of the last quarantine, as shown to operators; empty if there was none. */
    private String reason = "";
  }

  /** Returns whether failures are attributed to the job and not to the workers. */
  static boolean isAtFault(Job job) {
    return job.failedWorkers().size() >= MIN_FAILED_WORKERS && job.failures() >= MIN_FAILED_WORKERS;
  }

  /** Records a successful task, which clears the failures of the job and of the worker. */
  void recordSuccess(WorkerState worker, Job job) {
    job.clearFailures();
    Health health = healthByWorker.get(worker.id());
    if (health == null) {
      return;
    }
    health.failedFamilies.clear();
    if (worker.isOnProbation() && ++health.successes >= PROBATION_SUCCESSES) {
      worker.setOnProbation(false);
      healthByWorker.remove(worker.id());
    }
  }

  /** Records a failed attempt and delays the next attempt of the job. */
  void recordFailure(WorkerState worker, Job job, long nowMillis, int workerCount) {
    job.addFailure(worker.id());
    long delay = INITIAL_BACKOFF_MILLIS << Math.min(job.failures() - 1, MAX_BACKOFF_DOUBLINGS);
    if (isAtFault(job)) {
      clearFailuresOfFamily(job);
      delay = Math.max(delay, MIN_FAULTY_JOB_BACKOFF_MILLIS);
    } else {
      recordWorkerFailure(worker, job, nowMillis, workerCount);
    }
    job.setNotBefore(nowMillis + Math.min(delay, MAX_BACKOFF_MILLIS));
  }

  /** Records an attempt that never took effect; it counts against the worker without a backoff. */
  void recordNotRun(WorkerState worker, Job job, long nowMillis, int workerCount) {
    job.addFailedWorker(worker.id());
    recordWorkerFailure(worker, job, nowMillis, workerCount);
  }

  /** Moves workers whose quarantine has ended to probation and returns them. */
  List<WorkerState> endQuarantines(long nowMillis) {
    List<WorkerState> released = new ArrayList<>();
    quarantined.removeIf(
        worker -> {
          Health health = healthByWorker.get(worker.id());
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

  /** Returns the quarantine or probation of a worker, empty if it has neither. */
  Optional<WorkerHealth> healthOf(WorkerState worker) {
    if (!worker.isQuarantined() && !worker.isOnProbation()) {
      return Optional.empty();
    }
    WorkerHealth.Phase phase =
        worker.isQuarantined() ? WorkerHealth.Phase.QUARANTINED : WorkerHealth.Phase.ON_PROBATION;
    Health health = healthByWorker.get(worker.id());
    return Optional.of(new WorkerHealth(worker.id(), phase, health == null ? "" : health.reason));
  }

  /**
   * Restores the quarantine or probation that an earlier leader decided.
   *
   * <p>A quarantine starts over with its full duration.
   */
  void restore(WorkerState worker, WorkerHealth restored, long nowMillis) {
    Health health = healthByWorker.computeIfAbsent(worker.id(), id -> new Health());
    health.reason = restored.reason();
    if (restored.phase() == WorkerHealth.Phase.QUARANTINED && !worker.isQuarantined()) {
      quarantine(worker, health, nowMillis);
    } else if (restored.phase() == WorkerHealth.Phase.ON_PROBATION) {
      worker.setOnProbation(true);
    }
  }

  /** Clears all failures of a worker and ends its quarantine or probation. */
  void trust(WorkerState worker) {
    quarantined.remove(worker);
    worker.setQuarantined(false);
    worker.setOnProbation(false);
    healthByWorker.remove(worker.id());
  }

  /** Returns the workers that are currently quarantined. */
  List<WorkerState> quarantined() {
    return quarantined;
  }

  private void clearFailuresOfFamily(Job job) {
    JobFamily family = JobFamily.of(job.spec());
    for (String id : job.failedWorkers()) {
      Health health = healthByWorker.get(id);
      if (health != null) {
        health.failedFamilies.remove(family);
      }
    }
  }

  private void recordWorkerFailure(WorkerState worker, Job job, long nowMillis, int workerCount) {
    Health health = healthByWorker.computeIfAbsent(worker.id(), id -> new Health());
    health.failedFamilies.add(JobFamily.of(job.spec()));
    boolean failing = worker.isOnProbation() || health.failedFamilies.size() >= MIN_FAILED_FAMILIES;
    boolean allowed = quarantined.size() < Math.max(1, workerCount / QUARANTINED_WORKERS_DIVISOR);
    if (failing && allowed && !worker.isQuarantined()) {
      health.reason = reason(worker, health);
      quarantine(worker, health, nowMillis);
    }
  }

  private void quarantine(WorkerState worker, Health health, long nowMillis) {
    health.untilMillis =
        nowMillis
            + (INITIAL_QUARANTINE_MILLIS << Math.min(health.quarantines, MAX_QUARANTINE_DOUBLINGS));
    health.quarantines++;
    health.successes = 0;
    health.failedFamilies.clear();
    worker.setOnProbation(false);
    worker.setQuarantined(true);
    quarantined.add(worker);
  }

  private static String reason(WorkerState worker, Health health) {
    String names =
        health.failedFamilies.stream()
            .map(family -> family.team() + "/" + family.name())
            .sorted()
            .collect(Collectors.joining(", "));
    return (worker.isOnProbation() ? "failed on probation: " : "unlike jobs failed: ") + names;
  }
}
