package org.vanillacove.protocol.platform;

import org.vanillacove.state.api.AvailabilityZone;

/**
 * A host in the platform's list.
 *
 * @param id unique identifier
 * @param role what the host is for
 * @param address network address as host:port, by IP number
 * @param zone availability zone
 * @param leaving whether the host is about to go
 */
public record ListedHost(
    String id, Role role, String address, AvailabilityZone zone, boolean leaving) {
  /** What a host is for. */
  public enum Role {
    /** An entry host. */
    ENTRY,
    /** A backend server. */
    BACKEND
  }
}
