package org.vanillacove.state.leadership;

/**
 * Capacity of a host for the work of a leader, from its settings.
 *
 * @param cores processor capacity in cores, 0 if it is not known
 * @param linkMbps bandwidth of the host's network link in Mbit/s, {@link #UNLIMITED} for no limit
 * @param memoryMb memory of the process in MB, {@link #UNLIMITED} for no limit
 * @param descriptors maximum open descriptors of the process, {@link #UNLIMITED} for no limit
 */
public record HostCapacity(double cores, double linkMbps, double memoryMb, double descriptors) {
  /** Value of a resource that is not limited. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /** Returns the capacity that has the larger amount of each resource. */
  HostCapacity max(HostCapacity other) {
    return new HostCapacity(
        Math.max(cores, other.cores),
        Math.max(linkMbps, other.linkMbps),
        Math.max(memoryMb, other.memoryMb),
        Math.max(descriptors, other.descriptors));
  }
}
