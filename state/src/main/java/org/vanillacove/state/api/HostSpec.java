package org.vanillacove.state.api;

/**
 * An entry host that takes part in the cell.
 *
 * @param id unique identifier
 * @param peerAddress address of its peer link as host:port, by IP address
 * @param zone availability zone
 */
public record HostSpec(String id, String peerAddress, AvailabilityZone zone) {}
