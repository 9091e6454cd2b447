package org.vanillacove.protocol.configuration;

import java.util.ArrayList;
import java.util.List;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.Resources;

/** Checks that the capacity of the cell covers the sum of all team quotas. */
public final class CapacityCheck {
  /** Divisor that turns a percentage into a factor. */
  private static final long PERCENT = 100;

  private CapacityCheck() {}

  /**
   * Returns a fault for each resource whose quotas exceed the capacity. A sum that is no larger
   * than in {@code before} is accepted, so that a loss of workers does not block unrelated changes.
   */
  public static List<FieldFault> faults(
      EffectiveConfiguration candidate,
      EffectiveConfiguration before,
      int overcommitPercent,
      Resources capacity) {
    Resources sum = sum(candidate.placement());
    Resources sumBefore = sum(before.placement());
    List<FieldFault> faults = new ArrayList<>();
    check(
        "cpuMillis",
        sum.cpuMillis(),
        sumBefore.cpuMillis(),
        allowed(capacity.cpuMillis(), overcommitPercent),
        faults);
    check(
        "memoryMib",
        sum.memoryMib(),
        sumBefore.memoryMib(),
        allowed(capacity.memoryMib(), overcommitPercent),
        faults);
    check(
        "accelerators",
        sum.accelerators(),
        sumBefore.accelerators(),
        allowed(capacity.accelerators(), overcommitPercent),
        faults);
    return faults;
  }

  private static long allowed(long capacity, int overcommitPercent) {
    return capacity * overcommitPercent / PERCENT;
  }

  private static void check(
      String component, long sum, long sumBefore, long allowed, List<FieldFault> faults) {
    if (sum > allowed && sum > sumBefore) {
      faults.add(
          new FieldFault(
              "$.defaults.quotas",
              "the sum of "
                  + component
                  + " is "
                  + sum
                  + ", more than the "
                  + allowed
                  + " that the cell and $.defaults.quotaOvercommitPercent allow"));
    }
  }

  private static Resources sum(PlacementSettings placement) {
    return placement.teamQuotas().values().stream().reduce(Resources.NONE, Resources::plus);
  }
}
