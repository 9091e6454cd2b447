package org.vanillacove.state.work;

import java.util.Optional;

/**
 * Configuration of a queue.
 *
 * @param name name of the queue
 * @param address where callers reach the queue; queues of equal address are the same to them
 * @param service pool of workers that runs its tasks
 * @param priority priority in the service order; 0 is served first
 * @param maxAttempts number of failed runs after which a task and its job fail
 * @param stretch factor on the length of a job in its completion objective
 * @param targetMillis time added to the stretched length, in milliseconds
 * @param advice cost of calls to the adviser; empty if a step may use all workers
 */
public record QueuePolicy(
    String name,
    String address,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetMillis,
    Optional<AdvicePolicy> advice) {
  /** Workers named in one call to the adviser, by the users' definition of the objective. */
  private static final int REFERENCE_WORKERS = 30;

  /**
   * Cost of the calls to the adviser, which decides on the workers that a step may use.
   *
   * @param decisionMillis fixed time of one call in milliseconds
   * @param perWorkerMillis additional time for each named worker in milliseconds
   * @param validMillis time for which a ticket is valid, in milliseconds
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
