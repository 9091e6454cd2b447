package org.vanillacove.coordination.work.api;

import java.util.Set;
import org.vanillacove.state.api.Resources;

/**
 * What a worker says of itself.
 *
 * @param id its identifier
 * @param born start of this life in milliseconds since the Unix epoch
 * @param address host:port
 * @param service the pool it belongs to
 * @param draining whether it takes nothing new
 * @param capacity all its resources
 * @param rack its rack, empty if unknown
 * @param labels its labels
 */
public record WorkerEntry(
    String id,
    long born,
    String address,
    String service,
    boolean draining,
    Resources capacity,
    String rack,
    Set<String> labels) {
  /** Copies the labels. */
  public WorkerEntry {
    labels = Set.copyOf(labels);
  }
}
