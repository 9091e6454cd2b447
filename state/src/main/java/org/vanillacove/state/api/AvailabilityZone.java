package org.vanillacove.state.api;

/**
 * An availability zone and the region that contains it.
 *
 * @param region name of the region
 * @param name name of the zone, unique in the cell
 */
public record AvailabilityZone(String region, String name) {}
