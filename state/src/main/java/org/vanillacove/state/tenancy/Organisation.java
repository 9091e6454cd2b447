package org.vanillacove.state.tenancy;

import java.util.Set;
import org.vanillacove.state.api.Resources;

/**
 * An organisation that submits jobs.
 *
 * @param name its name, unique in a configuration
 * @param keys digests of its API keys; empty if all were revoked
 * @param weight its share relative to the others when the cell is full, and the number of jobs a
 *     second up to which its jobs are owed; 0 if none is configured
 * @param cap what its runs may use over all workers; a component of 0 is no limit
 */
public record Organisation(String name, Set<KeyDigest> keys, double weight, Resources cap) {
  /** Copies the keys, so that the organisation is immutable. */
  public Organisation {
    keys = Set.copyOf(keys);
  }
}
