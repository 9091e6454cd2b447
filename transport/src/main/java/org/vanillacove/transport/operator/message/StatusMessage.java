package org.vanillacove.transport.operator.message;

import java.util.List;
import java.util.Optional;

/**
 * State of the cell as one entry host sees it.
 *
 * @param host the entry host that answers
 * @param epoch leadership epoch
 * @param leader the leader
 * @param foldedOffset offset one past the newest folded record
 * @param logReachable whether the newest read of the log succeeded
 * @param configurationVersion configuration version in force on the host that answers
 * @param hosts agreed entry hosts
 * @param workers number of workers
 * @param activeWorkers number of workers that take new tasks
 * @param jobs number of jobs that have not ended
 * @param runningTasks number of running tasks
 * @param waitingTasks number of tasks that wait
 * @param cpuPercent committed share of processors
 * @param memoryPercent committed share of memory
 * @param acceleratorPercent committed share of accelerators
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
  /** Copies the hosts. */
  public StatusMessage {
    hosts = List.copyOf(hosts);
  }

  /**
   * An agreed entry host.
   *
   * @param hostId identifier
   * @param region region
   * @param zone availability zone
   * @param reachable whether direct heartbeats say that it is alive
   * @param configurationVersion version in force there, if it answered
   */
  public record HostMessage(
      String hostId,
      String region,
      String zone,
      boolean reachable,
      Optional<Long> configurationVersion) {}
}
