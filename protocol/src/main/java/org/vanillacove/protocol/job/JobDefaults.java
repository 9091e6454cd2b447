package org.vanillacove.protocol.job;

import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Values of the fields that a job file omits.
 *
 * @param priority priority class of the job
 * @param rerun whether tasks may be started again
 * @param loss what happens to unreachable tasks
 */
public record JobDefaults(PriorityClass priority, RerunPolicy rerun, LossPolicy loss) {
  /**
   * Returns the built-in values for a kind of workload, used unless the configuration sets others.
   */
  public static JobDefaults of(WorkloadKind kind) {
    return switch (kind) {
      case SERVICE -> new JobDefaults(PriorityClass.NORMAL, RerunPolicy.RERUN, LossPolicy.KEEP);
      case BATCH, GANG ->
          new JobDefaults(PriorityClass.NORMAL, RerunPolicy.AT_MOST_ONCE, LossPolicy.MOVE);
    };
  }

  /** Supplies the defaults for a team and a kind of workload. */
  @FunctionalInterface
  public interface Source {
    /** Returns the defaults of {@code team} for {@code kind}. */
    JobDefaults of(String team, WorkloadKind kind);
  }
}
