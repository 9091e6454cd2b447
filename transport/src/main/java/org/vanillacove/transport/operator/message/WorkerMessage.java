package org.vanillacove.transport.operator.message;

import java.util.Optional;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerStatus;

/**
 * A worker.
 *
 * @param workerId identifier
 * @param region region
 * @param zone availability zone
 * @param rack rack
 * @param status whether it takes new tasks
 * @param reason why it has its status, empty if nobody said
 * @param acceleratorKind kind of its accelerators
 * @param capacity resources that tasks may be committed to
 * @param committed resources committed to running tasks
 * @param runningTasks number of running tasks
 */
public record WorkerMessage(
    String workerId,
    String region,
    String zone,
    String rack,
    WorkerStatus status,
    String reason,
    Optional<String> acceleratorKind,
    Resources capacity,
    Resources committed,
    int runningTasks) {}
