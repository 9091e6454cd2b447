package org.vanillacove.protocol.platform;

import java.util.List;

/** Reply of a worker to a command, or the lack of one. */
public sealed interface WorkerReply {
  /**
   * The command took effect.
   *
   * @param epoch highest epoch the worker has seen
   * @param tasks reports on attempts; {@link WorkerCommand} defines which ones for each command
   */
  record Done(long epoch, List<TaskReport> tasks) implements WorkerReply {
    /** Makes an immutable copy of the reports. */
    public Done {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * The command carried an outdated epoch and had no effect.
   *
   * @param highestEpoch highest epoch the worker has seen
   */
  record Stale(long highestEpoch) implements WorkerReply {}

  /**
   * The worker refused the command, which certainly had no effect.
   *
   * @param reason why the command was refused
   */
  record Refused(String reason) implements WorkerReply {}

  /**
   * No reply was received; the outcome of the command is unknown.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements WorkerReply {}
}
