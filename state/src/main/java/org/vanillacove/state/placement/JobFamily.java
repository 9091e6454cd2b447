package org.vanillacove.state.placement;

import org.vanillacove.state.api.JobSpec;

/**
 * Jobs that are expected to behave alike.
 *
 * @param team team of the jobs
 * @param name name they share
 */
record JobFamily(String team, String name) {
  static JobFamily of(JobSpec spec) {
    return new JobFamily(spec.team(), spec.name());
  }
}
