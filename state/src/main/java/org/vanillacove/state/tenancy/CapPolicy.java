package org.vanillacove.state.tenancy;

import java.util.Locale;
import java.util.Optional;
import org.vanillacove.state.api.Resources;

/**
 * Decides how many tasks an organisation may start under its cap. Answers the load of an
 * organisation that sends more work than it may have running while the workers have free capacity,
 * also while it isn't known what runs on some of them. A component of 0 in a cap is no limit.
 */
public final class CapPolicy {
  /** Part of a cap, as a divisor, up to which tasks start beside a gang that waits. */
  private static final int SHARE_BESIDE_GANG = 2;

  private CapPolicy() {}

  /** Component of a cap; printed in lower case as the reason of a rejection. */
  public enum Component {
    /** Thousandths of a processor core. */
    CPU,
    /** Mebibytes of memory. */
    MEMORY,
    /** Accelerator devices. */
    ACCELERATORS;

    /** Returns this component of {@code resources}. */
    long of(Resources resources) {
      return switch (this) {
        case CPU -> resources.cpuMillis();
        case MEMORY -> resources.memoryMib();
        case ACCELERATORS -> resources.accelerators();
      };
    }

    @Override
    public String toString() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * A component in which tasks that must run at the same time exceed the cap even alone.
   *
   * @param component component of the cap
   * @param demand demand of one task
   * @param tasks number of tasks that run at the same time
   * @param limit value of the cap
   */
  public record Excess(Component component, long demand, int tasks, long limit) {}

  /** Returns whether no component of the cap is a limit. */
  public static boolean isUnlimited(Resources cap) {
    return cap.equals(Resources.NONE);
  }

  /**
   * Returns how many of {@code wanted} tasks may start.
   *
   * @param cap limit of what the organisation has running
   * @param use upper bound of what it has running
   * @param claimed room that a waiting gang of the organisation needs; other tasks leave it free as
   *     long as they have half of the cap in use
   * @param demand demand of one task
   * @param wanted number of tasks that wait
   */
  public static int startable(
      Resources cap, Resources use, Resources claimed, Resources demand, int wanted) {
    long startable = wanted;
    for (Component each : Component.values()) {
      long limit = each.of(cap);
      if (limit > 0) {
        startable =
            Math.min(
                startable,
                startable(limit, each.of(use), each.of(claimed), each.of(demand), wanted));
      }
    }
    return (int) Math.max(0, startable);
  }

  private static long startable(long limit, long use, long claimed, long demand, int wanted) {
    if (use > limit) {
      return 0;
    }
    if (demand <= 0) {
      return wanted;
    }
    long underCap = (limit - use) / demand;
    long half = limit / SHARE_BESIDE_GANG;
    long besideGang = use < half ? Math.ceilDiv(half - use, demand) : 0;
    long outsideClaim = Math.floorDiv(limit - use - claimed, demand);
    return Math.min(underCap, Math.max(besideGang, outsideClaim));
  }

  /**
   * Returns a component in which {@code tasks} tasks of {@code demand} exceed the cap, or empty if
   * they fit when nothing else of the organisation runs.
   */
  public static Optional<Excess> excess(Resources cap, Resources demand, int tasks) {
    for (Component each : Component.values()) {
      long limit = each.of(cap);
      long one = each.of(demand);
      if (limit > 0 && one > 0 && limit / one < tasks) {
        return Optional.of(new Excess(each, one, tasks, limit));
      }
    }
    return Optional.empty();
  }
}
