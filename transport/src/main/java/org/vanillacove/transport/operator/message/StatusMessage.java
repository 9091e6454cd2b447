package org.vanillacove.transport.operator.message;

import java.util.List;
import java.util.Optional;

/**
 * State of the cell as one entry host sees it.
 *
 * @param host the entry host that answers
 * @param epoch leadership epoch
 * @param leader identifier of the leader, empty if none is known
 * @param foldedOffset offset after the newest applied record of the log
 * @param logReachable whether the most recent read of the log succeeded
 * @param configurationVersion configuration version in force on the host that answers
 * @param hosts agreed entry hosts
 * @param workers number of workers
 * @param activeWorkers number of workers that accept new tasks
 * @param jobs number of jobs that have not ended
 * @param runningTasks number of running tasks
 * @param waitingTasks number of waiting tasks
 * @param cpuPercent committed CPU, in percent of the capacity
 * @param memoryPercent committed memory, in percent of the capacity
 * @param acceleratorPercent committed accelerators, in percent of the capacity
 */
public record StatusMessage(
    String host,
    long epoch,
    Optional<String> leader,
    long foldedOffset,
    boolean logReachable,
    long configurationVersion,
    List<HostMessage> hosts,
    int workers,
    int activeWorkers,
    int jobs,
    int runningTasks,
    int waitingTasks,
    int cpuPercent,
    int memoryPercent,
    int acceleratorPercent) {
  /** Makes an immutable copy of the hosts. */
  public StatusMessage {
    hosts = List.copyOf(hosts);
  }

  /**
   * An agreed entry host.
   *
   * @param hostId identifier of the host
   * @param region region of the host
   * @param zone availability zone of the host
   * @param reachable whether heartbeats are received directly from the host
   * @param configurationVersion version in force on the host, empty if it did not answer
   */
  public record HostMessage(
      String hostId,
      String region,
      String zone,
      boolean reachable,
      Optional<Long> configurationVersion) {}
}
