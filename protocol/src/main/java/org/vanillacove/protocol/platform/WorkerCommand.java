package org.vanillacove.protocol.platform;

import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;

/**
 * A command to a worker; workers reject an epoch lower than the highest they have seen.
 *
 * <p>Only the reply to {@link Fence} shows the whole inventory, so only it says which attempts do
 * not run. All other replies name single attempts, and nothing follows from an attempt they leave
 * out. A reply may be lost with what it names; the next inventory shows it again.
 */
public sealed interface WorkerCommand {
  /** Returns the epoch of the leader on whose behalf the command is sent. */
  long epoch();

  /**
   * Raises the worker's epoch and asks for its inventory: all attempts that run and those that
   * ended within the last 90 s.
   *
   * @param epoch the new epoch
   */
  record Fence(long epoch) implements WorkerCommand {}

  /**
   * Starts an attempt of a task under a lease; the reply shows the attempt. An attempt that runs or
   * ended within the last 90 s is not started again.
   *
   * @param epoch epoch of the leader
   * @param task the task
   * @param attempt number of the attempt
   * @param resources resources committed to it
   * @param loss what happens when the lease is renewed by the region alone
   * @param leaseMillis length of the lease in milliseconds
   * @param command what to run
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
   * Stops an attempt of a task; the reply shows the attempt unless it has not run within the last
   * 90 s.
   *
   * @param epoch epoch of the leader
   * @param task the task
   * @param attempt number of the attempt
   * @param checkpoint whether to checkpoint first
   */
  record Stop(long epoch, TaskId task, int attempt, boolean checkpoint) implements WorkerCommand {}

  /**
   * Throttles an attempt to a share of its processor time.
   *
   * @param epoch epoch of the leader
   * @param task the task
   * @param attempt number of the attempt
   * @param cpuMillis the limit in thousandths of a core
   */
  record Throttle(long epoch, TaskId task, int attempt, long cpuMillis) implements WorkerCommand {}

  /**
   * Renews the leases of all tasks on the worker; the reply shows attempts that started or ended
   * since the last renewal and those whose use of resources changed. A worker whose inventory was
   * not read since it began to run refuses, so that a reboot is noticed.
   *
   * @param epoch epoch of the leader
   * @param leaseMillis length of the renewed lease in milliseconds
   * @param keepOnly whether only tasks with {@code LossPolicy.KEEP} are renewed
   */
  record Renew(long epoch, long leaseMillis, boolean keepOnly) implements WorkerCommand {}
}
