package org.vanillacove.coordination.work.api;

import java.util.Set;
import org.vanillacove.state.api.Resources;

/**
 * Directory entry that a worker announces.
 *
 * @param id identifier of the worker
 * @param incarnation start of this incarnation in milliseconds since the Unix epoch
 * @param address address for commands, {@code host:port}
 * @param service pool of workers that it belongs to
 * @param draining whether the worker accepts no new runs
 * @param capacity total resources
 * @param rack name of the rack, empty if unknown
 * @param labels labels that steps may require
 */
public record WorkerEntry(
    String id,
    long incarnation,
    String address,
    String service,
    boolean draining,
    Resources capacity,
    String rack,
    Set<String> labels) {
  /** Copies the labels, so that the entry is immutable. */
  public WorkerEntry {
    labels = Set.copyOf(labels);
  }

  /** Returns this entry with another start time. */
  public WorkerEntry withIncarnation(long other) {
    return new WorkerEntry(id, other, address, service, draining, capacity, rack, labels);
  }
}
