package org.vanillacove.state.placement;

import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;

/**
 * What decides where a task fits; tasks of equal keys fit on the same workers.
 *
 * @param size resources of one task after correction
 * @param constraints where it may run
 * @param service whether it is spread over racks and zones
 * @param firm whether it cannot be stopped for others, so that it must stay within the quota
 * @param runLevel level of its expected run time
 * @param together tasks that must start together, one if none
 */
record ShapeKey(
    Resources size,
    PlacementConstraints constraints,
    boolean service,
    boolean firm,
    int runLevel,
    int together) {}
