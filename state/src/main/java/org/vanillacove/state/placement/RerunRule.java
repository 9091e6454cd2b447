package org.vanillacove.state.placement;

import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/** Decides whether a task is queued again after an attempt has ended. */
final class RerunRule {
  private RerunRule() {}

  /**
   * Returns whether a task of {@code spec} runs again after {@code outcome}.
   *
   * <p>A task that may run at most once is queued again only if the attempt never took effect, or
   * if it was preempted from a checkpoint.
   */
  static boolean runsAgain(JobSpec spec, TaskOutcome outcome) {
    boolean rerun = spec.rerun() == RerunPolicy.RERUN;
    return switch (outcome) {
      case SUCCEEDED -> rerun && spec.kind() == WorkloadKind.SERVICE;
      case FAILED, LOST, UNKNOWN -> rerun;
      case PREEMPTED -> rerun || spec.checkpointable();
      case NOT_RUN -> true;
      case CANCELLED -> false;
    };
  }
}
