package org.vanillacove.state.placement;

import org.vanillacove.state.api.JobSpec;

/**
 * Identifies jobs of one team and name, which are expected to behave alike.
 *
 * @param team name of the team that owns the jobs
 * @param name name that the jobs share
 */
record JobFamily(String team, String name) {
  static JobFamily of(JobSpec spec) {
    return new JobFamily(spec.team(), spec.name());
  }
}
