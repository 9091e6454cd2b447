package org.vanillacove.protocol.configuration;

import java.util.EnumMap;
import java.util.Map;
import org.vanillacove.protocol.job.JobDefaults;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Configuration values for the whole fleet, which exceptions can override.
 *
 * @param workloads values of fields that job files omit, by kind of workload
 * @param placement placement settings with the quotas of teams
 * @param quotaOvercommitPercent maximum sum of the quotas in percent of the capacity
 * @param maxTasksPerJob maximum number of tasks of one job by priority class
 * @param routing settings of request routing
 * @param timelineEvents maximum number of timeline events that one host retains
 */
public record FleetDefaults(
    Map<WorkloadKind, JobDefaults> workloads,
    PlacementSettings placement,
    int quotaOvercommitPercent,
    Map<PriorityClass, Integer> maxTasksPerJob,
    RoutingSettings routing,
    int timelineEvents) {
  /** Default maximum number of tasks of one job. */
  public static final int MAX_TASKS_PER_JOB = 10_000;

  /** Default maximum sum of the quotas in percent of the capacity. */
  public static final int QUOTA_OVERCOMMIT_PERCENT = 100;

  /** Default maximum number of timeline events that one host retains. */
  public static final int TIMELINE_EVENTS = 16_384;

  /** Values in force until the first configuration is applied. */
  public static final FleetDefaults BUILT_IN =
      new FleetDefaults(
          Map.of(),
          PlacementSettings.DEFAULTS,
          QUOTA_OVERCOMMIT_PERCENT,
          Map.of(),
          RoutingSettings.DEFAULTS,
          TIMELINE_EVENTS);

  /** Adds the default for each kind of workload and priority class that is absent. */
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
