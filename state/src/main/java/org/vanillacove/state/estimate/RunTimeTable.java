package org.vanillacove.state.estimate;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learned run times by queue and shape of the step. The least recently used distribution is dropped
 * beyond a maximum number.
 */
public final class RunTimeTable {
  /** Maximum number of distributions. */
  private static final int MAX_ENTRIES = 256;

  /** Returned for shapes without observations; never changed. */
  private static final RunTimeRatios NONE = new RunTimeRatios();

  /** Distributions by shape, the most recently used one last. */
  private final Map<Shape, RunTimeRatios> entries = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Runs whose declarations are alike.
   *
   * @param queue name of the queue
   * @param gang whether the members of a gang end together, with their slowest one
   */
  private record Shape(String queue, boolean gang) {}

  /**
   * Records the time that a run took from its start to its end.
   *
   * @param queue name of the queue
   * @param gang whether the run was a member of a gang
   * @param declaredMillis declared run time; ignored unless above 0
   * @param ranMillis time from the start to the end
   */
  public void observe(String queue, boolean gang, long declaredMillis, double ranMillis) {
    if (declaredMillis <= 0) {
      return;
    }
    entries
        .computeIfAbsent(new Shape(queue, gang), shape -> new RunTimeRatios())
        .observe(ranMillis / declaredMillis);
    if (entries.size() > MAX_ENTRIES) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  /** Returns the distribution for runs of {@code queue}; that of no observations if unknown. */
  public RunTimeRatios ratios(String queue, boolean gang) {
    return entries.getOrDefault(new Shape(queue, gang), NONE);
  }
}
