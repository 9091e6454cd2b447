package org.vanillacove.state.work;

import java.util.Optional;

/**
 * What the configuration says of a queue.
 *
 * @param name name of the queue
 * @param service pool of workers that runs its tasks
 * @param priority order of service; 0 comes first
 * @param maxAttempts failed runs after which a task, and its job, has failed
 * @param stretch factor on a job's own length in its completion objective
 * @param targetMillis time added to the stretched length in the objective
 * @param advice costs of asking which workers a step may use; empty if all may be used
 */
public record QueuePolicy(
    String name,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetMillis,
    Optional<AdvicePolicy> advice) {
  /** Workers that one call for advice names in the users' definition of the objective. */
  private static final int REFERENCE_WORKERS = 30;

  /**
   * Costs of asking which workers a step may use.
   *
   * @param decisionMillis time of one call
   * @param perWorkerMillis time for each worker named
   * @param validMillis time for which a ticket is valid
   */
  public record AdvicePolicy(double decisionMillis, double perWorkerMillis, long validMillis) {}

  /** Returns the time from submission within which {@code job} earns full credit. */
  public long objectiveMillis(JobSpec job) {
    long chain = job.chainMillis();
    long advising =
        advice
            .map(a -> (long) (a.decisionMillis() + REFERENCE_WORKERS * a.perWorkerMillis()))
            .orElse(0L);
    return (long) (stretch * (chain + advising)) + targetMillis;
  }
}
