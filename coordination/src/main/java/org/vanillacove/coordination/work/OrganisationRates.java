package org.vanillacove.coordination.work;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.state.tenancy.Organisation;
import org.vanillacove.state.tenancy.OwedRate;
import org.vanillacove.state.work.JobSpec;

/** Rates at which the organisations send jobs, relative to their weights. */
final class OrganisationRates {
  /** Organisations of the configuration. */
  private final OrganisationUsage usage;

  /** Rate of each organisation that has sent a job in this term. */
  private final Map<String, OwedRate> rates = new HashMap<>();

  /** Creates rates of which no job was counted. */
  OrganisationRates(OrganisationUsage usage) {
    this.usage = usage;
  }

  /** Counts a job; returns whether it is owed, which one without a configured weight is. */
  boolean take(JobSpec job, long nowMillis) {
    return weighted(job)
        .map(
            owner ->
                rates
                    .computeIfAbsent(owner.name(), name -> new OwedRate(owner.weight(), nowMillis))
                    .take(owner.weight(), nowMillis))
        .orElse(true);
  }

  /** Takes back an owed job that was counted and not accepted. */
  void giveBack(JobSpec job) {
    weighted(job).map(owner -> rates.get(owner.name())).ifPresent(OwedRate::giveBack);
  }

  /** Returns the time until a job of the same organisation is owed again, in milliseconds. */
  long millisToNext(JobSpec job) {
    return weighted(job)
        .map(owner -> rates.get(owner.name()).millisToNext(owner.weight()))
        .orElse(0L);
  }

  private Optional<Organisation> weighted(JobSpec job) {
    return job.organisation().flatMap(usage.configured()::find).filter(owner -> owner.weight() > 0);
  }
}
