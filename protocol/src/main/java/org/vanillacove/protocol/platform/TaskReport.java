package org.vanillacove.protocol.platform;

import java.util.Optional;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/**
 * Report of a worker about one attempt of a task.
 *
 * @param task the task
 * @param attempt number of the attempt
 * @param ended outcome of the attempt, empty while it runs
 * @param used most recently measured resource usage
 */
public record TaskReport(TaskId task, int attempt, Optional<TaskOutcome> ended, Resources used) {}
