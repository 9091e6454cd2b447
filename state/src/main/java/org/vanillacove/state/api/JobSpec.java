package org.vanillacove.state.api;

/**
 * A job as the caller declared it.
 *
 * @param name name for people; jobs with the same team and name form a family
 * @param team team whose quota is charged
 * @param kind kind of workload
 * @param priority priority class
 * @param taskCount tasks, or replicas of a service
 * @param resources declared size of one task
 * @param constraints restrictions on the workers that may run its tasks
 * @param rerun whether a task may be started again
 * @param loss what happens to tasks on unreachable workers
 * @param checkpointable whether a task can be checkpointed before a stop
 * @param expectedRunMillis declared run time in milliseconds, zero if open-ended
 * @param command command that the worker runs, opaque to the scheduler
 */
public record JobSpec(
    String name,
    String team,
    WorkloadKind kind,
    PriorityClass priority,
    int taskCount,
    Resources resources,
    PlacementConstraints constraints,
    RerunPolicy rerun,
    LossPolicy loss,
    boolean checkpointable,
    long expectedRunMillis,
    String command) {}
