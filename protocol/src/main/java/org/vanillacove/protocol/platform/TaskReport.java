package org.vanillacove.protocol.platform;

import java.util.Optional;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;

/**
 * What a worker says of one attempt.
 *
 * @param task the task
 * @param attempt number of the attempt
 * @param ended how it ended, empty while it runs
 * @param used resources last seen in use
 */
public record TaskReport(TaskId task, int attempt, Optional<TaskOutcome> ended, Resources used) {}
