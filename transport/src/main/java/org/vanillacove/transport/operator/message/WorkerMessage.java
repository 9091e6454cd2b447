package org.vanillacove.transport.operator.message;

import java.util.Optional;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerStatus;

/**
 * A worker as shown to operators.
 *
 * @param workerId identifier of the worker
 * @param region region of the worker
 * @param zone availability zone of the worker
 * @param rack rack of the worker
 * @param status whether the worker accepts new tasks
 * @param reason why it has its status, empty if none was given
 * @param acceleratorKind kind of its accelerators, empty if it has none
 * @param capacity resources available to tasks
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
