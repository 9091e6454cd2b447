package org.vanillacove.protocol.platform;

import java.util.List;

/** Reply of a worker. */
public sealed interface WorkerReply {
  /**
   * The command took effect.
   *
   * @param epoch highest epoch the worker has seen
   * @param tasks what {@link WorkerCommand} says for the command that was sent
   */
  record Done(long epoch, List<TaskReport> tasks) implements WorkerReply {
    /** Copies the reports. */
    public Done {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * The command carried an old epoch and took no effect.
   *
   * @param highestEpoch highest epoch the worker has seen
   */
  record Stale(long highestEpoch) implements WorkerReply {}

  /**
   * The worker refused; the command certainly took no effect.
   *
   * @param reason why
   */
  record Refused(String reason) implements WorkerReply {}

  /**
   * No answer came; whether the command took effect is not known.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements WorkerReply {}
}
