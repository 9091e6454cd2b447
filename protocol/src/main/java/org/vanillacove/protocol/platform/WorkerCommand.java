package org.vanillacove.protocol.platform;

import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;

/**
 * A command to a worker; workers reject an epoch lower than the highest they have seen.
 *
 * <p>Only the reply to {@link Fence} lists the complete inventory, so only it shows which attempts
 * do not run. All other replies list some attempts, and nothing can be concluded about an attempt
 * that they omit. A reply may be lost; the next inventory lists its attempts again.
 */
public sealed interface WorkerCommand {
  /** Returns the epoch of the leader on whose behalf the command is sent. */
  long epoch();

  /**
   * Raises the worker's epoch and requests its inventory: all attempts that run and those that
   * ended within the last 90 s.
   *
   * @param epoch the new epoch
   */
  record Fence(long epoch) implements WorkerCommand {}

  /**
   * Starts an attempt of a task under a lease; the reply lists the attempt. An attempt that runs or
   * ended within the last 90 s is not started again.
   *
   * @param epoch epoch of the leader
   * @param task the task that the attempt belongs to
   * @param attempt number of the attempt
   * @param resources resources committed to it
   * @param loss whether the lease may be renewed on a grant by the region alone
   * @param leaseMillis length of the lease in milliseconds
   * @param command command that the worker runs
   */
  record Start(
      long epoch,
      TaskId task,
      int attempt,
      Resources resources,
      LossPolicy loss,
      long leaseMillis,
      String command)
      implements WorkerCommand {}

  /**
   * Stops an attempt of a task; the reply lists the attempt if it has run within the last 90 s.
   *
   * @param epoch epoch of the leader
   * @param task the task that the attempt belongs to
   * @param attempt number of the attempt
   * @param checkpoint whether to checkpoint the task before stopping it
   */
  record Stop(long epoch, TaskId task, int attempt, boolean checkpoint) implements WorkerCommand {}

  /**
   * Limits the processor time of an attempt.
   *
   * @param epoch epoch of the leader
   * @param task the task that the attempt belongs to
   * @param attempt number of the attempt
   * @param cpuMillis limit in thousandths of a core
   */
  record Throttle(long epoch, TaskId task, int attempt, long cpuMillis) implements WorkerCommand {}

  /**
   * Renews the leases of all tasks on the worker; the reply lists attempts that started or ended
   * since the last renewal and those whose resource usage changed. A worker whose inventory has not
   * been read since it started refuses the command, so that its restart is noticed.
   *
   * @param epoch epoch of the leader
   * @param leaseMillis length of the renewed lease in milliseconds
   * @param keepOnly whether only tasks with {@code LossPolicy.KEEP} are renewed
   */
  record Renew(long epoch, long leaseMillis, boolean keepOnly) implements WorkerCommand {}
}
