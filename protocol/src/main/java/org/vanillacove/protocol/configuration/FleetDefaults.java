package org.vanillacove.protocol.configuration;

import java.util.EnumMap;
import java.util.Map;
import org.vanillacove.protocol.job.JobDefaults;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Values that cover the whole fleet.
 *
 * @param workloads values of fields that job files leave out, by kind of workload
 * @param placement policy values of placement, the quotas of teams among them
 * @param quotaOvercommitPercent sum of the quotas allowed for each hundred of capacity
 * @param maxTasksPerJob most tasks of one job by priority class
 * @param routing policy values of request routing
 * @param timelineEvents events of the time line that one host keeps
 */
public record FleetDefaults(
    Map<WorkloadKind, JobDefaults> workloads,
    PlacementSettings placement,
    int quotaOvercommitPercent,
    Map<PriorityClass, Integer> maxTasksPerJob,
    RoutingSettings routing,
    int timelineEvents) {
  /** Most tasks of one job where no limit is given. */
  public static final int MAX_TASKS_PER_JOB = 10_000;

  /** Sum of the quotas allowed for each hundred of capacity where no limit is given. */
  public static final int QUOTA_OVERCOMMIT_PERCENT = 100;

  /** Events of the time line that one host keeps where no number is given. */
  public static final int TIMELINE_EVENTS = 16_384;

  /** Values in force before any configuration was seen. */
  public static final FleetDefaults BUILT_IN =
      new FleetDefaults(
          Map.of(),
          PlacementSettings.DEFAULTS,
          QUOTA_OVERCOMMIT_PERCENT,
          Map.of(),
          RoutingSettings.DEFAULTS,
          TIMELINE_EVENTS);

  /** Fills in what is left out. */
  public FleetDefaults {
    Map<WorkloadKind, JobDefaults> byKind = new EnumMap<>(WorkloadKind.class);
    for (WorkloadKind kind : WorkloadKind.values()) {
      byKind.put(kind, workloads.getOrDefault(kind, JobDefaults.of(kind)));
    }
    workloads = Map.copyOf(byKind);
    Map<PriorityClass, Integer> byClass = new EnumMap<>(PriorityClass.class);
    for (PriorityClass priority : PriorityClass.values()) {
      byClass.put(priority, maxTasksPerJob.getOrDefault(priority, MAX_TASKS_PER_JOB));
    }
    maxTasksPerJob = Map.copyOf(byClass);
  }
}
