package org.vanillacove.protocol.platform;

import org.vanillacove.state.api.AvailabilityZone;

/**
 * A host in the platform's list.
 *
 * @param id unique identifier
 * @param role role of the host
 * @param address network address as host:port, by IP address
 * @param zone availability zone
 * @param leaving whether the host is about to leave
 */
public record ListedHost(
    String id, Role role, String address, AvailabilityZone zone, boolean leaving) {
  /** Role of a host in the platform. */
  public enum Role {
    /** The host accepts requests and takes part in the cell. */
    ENTRY,
    /** The host is a backend server that processes requests. */
    BACKEND
  }
}
