package org.vanillacove.coordination.work;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.CapPolicy;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.StepSpec;

/**
 * Tasks that may start under the caps during one dispatch. A gang that its cap holds back claims
 * room under it, so that the tasks behind it don't use up each part of the cap that becomes free.
 */
final class GangClaims {
  /** Use and caps of the organisations. */
  private final OrganisationUsage usage;

  /** Room that the waiting gangs of an organisation need, by its name. */
  private final Map<String, Resources> claims = new HashMap<>();

  /** Upper bound of what unknown runs use; it doesn't change during a dispatch. */
  private final Optional<Resources> unknown;

  /** Creates an empty set of claims. */
  GangClaims(OrganisationUsage usage) {
    this.usage = usage;
    unknown = usage.unknown();
  }

  /** Returns how many tasks of a step may start now; for a gang all or none. */
  int startable(TrackedJob job, TrackedStep step) {
    Resources claimed = job.spec().organisation().map(claims::get).orElse(Resources.NONE);
    return usage.startable(job.spec(), step, claimed, unknown);
  }

  /**
   * Records that the cap holds a step back. A gang claims room by that, unless it exceeds the cap
   * even alone.
   */
  void add(JobSpec job, StepSpec step) {
    usage.markHeldBack(job);
    boolean fits =
        usage
            .cap(job)
            .filter(cap -> CapPolicy.excess(cap, step.demand(), step.count()).isEmpty())
            .isPresent();
    if (step.gang() && fits) {
      claims.putIfAbsent(job.organisation().orElseThrow(), step.demand().times(step.count()));
    }
  }
}
