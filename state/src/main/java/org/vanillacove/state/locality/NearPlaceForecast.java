package org.vanillacove.state.locality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.work.StepSpec;
import org.vanillacove.state.work.WorkerCapacity;

/**
 * Forecasts when tasks of a step fit on a group of near workers, from the ends that are expected of
 * the runs there. Answers the load in which a rack is full of runs that end one after the other.
 */
public final class NearPlaceForecast {
  private NearPlaceForecast() {}

  /**
   * A run on a near worker.
   *
   * @param worker identifier of the worker
   * @param remainingMillis expected time to its end, in milliseconds
   * @param demand resources that become free then
   */
  public record ExpectedEnd(String worker, long remainingMillis, Resources demand) {}

  /**
   * Returns the time in milliseconds after which {@code count} tasks fit on {@code near}, 0 if they
   * fit now, or empty if they would not fit there even without any run.
   *
   * @param step step whose tasks wait
   * @param count number of tasks that must fit
   * @param near workers near the data or the group, with their free capacity
   * @param ends runs on these workers
   */
  public static OptionalLong millisUntilFit(
      StepSpec step, int count, List<WorkerCapacity> near, List<ExpectedEnd> ends) {
    Map<String, WorkerCapacity> workers = new HashMap<>();
    int slots = 0;
    for (WorkerCapacity worker : near) {
      workers.put(worker.id(), worker);
      slots += worker.slots(step);
    }
    if (slots >= count) {
      return OptionalLong.of(0);
    }
    List<ExpectedEnd> ordered = new ArrayList<>(ends);
    ordered.sort(Comparator.comparingLong(ExpectedEnd::remainingMillis));
    for (ExpectedEnd end : ordered) {
      WorkerCapacity before = workers.get(end.worker());
      if (before == null) {
        continue;
      }
      WorkerCapacity after = before.withFree(before.free().plus(end.demand()));
      workers.put(end.worker(), after);
      slots += after.slots(step) - before.slots(step);
      if (slots >= count) {
        return OptionalLong.of(Math.max(0, end.remainingMillis()));
      }
    }
    return OptionalLong.empty();
  }
}
