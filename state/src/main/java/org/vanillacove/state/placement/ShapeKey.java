package org.vanillacove.state.placement;

import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;

/**
 * Properties that decide where a task fits; tasks with equal keys fit on the same workers.
 *
 * @param size resources of one task, corrected by the observed usage
 * @param constraints constraints on the workers that it may run on
 * @param service whether it belongs to a service, whose tasks are spread over racks and zones
 * @param nonPreemptible whether it can't be preempted, so that it must stay within the quota
 * @param runTimeLevel level of its expected run time, see {@link SizeLevels#time}
 * @param gangSize number of tasks that must start together, 1 for a task that starts alone
 */
record ShapeKey(
    Resources size,
    PlacementConstraints constraints,
    boolean service,
    boolean nonPreemptible,
    int runTimeLevel,
    int gangSize) {}
