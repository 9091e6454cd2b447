package org.vanillacove.state.cell;

import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;

/** Decides whether a task is started again after an attempt ended. */
public final class SettlementRule {
  /** Number of failed attempts after which a batch or gang task is not started again. */
  public static final int MAX_FAILURES = 4;

  private SettlementRule() {}

  /** Returns whether a task of {@code spec} is settled after an attempt with this outcome. */
  public static boolean isSettled(JobSpec spec, TaskOutcome outcome, int failuresBefore) {
    boolean service = spec.kind() == WorkloadKind.SERVICE;
    boolean atMostOnce = spec.rerun() == RerunPolicy.AT_MOST_ONCE;
    return switch (outcome) {
      case NOT_RUN -> false;
      case CANCELLED -> true;
      case SUCCEEDED -> atMostOnce || !service;
      case FAILED -> atMostOnce || (!service && failuresBefore + 1 >= MAX_FAILURES);
      case PREEMPTED -> atMostOnce && !spec.checkpointable();
      case LOST, UNKNOWN -> atMostOnce;
    };
  }
}
