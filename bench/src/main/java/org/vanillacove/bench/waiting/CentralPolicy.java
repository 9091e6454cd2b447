package org.vanillacove.bench.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.vanillacove.standin.memory.ManualTimerService;

/**
 * One queue for all entry hosts that knows every slot and every slow or failing backend server
 * without delay, and whose slots are in use for the service time alone: a bound that no policy of
 * separate hosts reaches. The way within a region is part of its answers.
 */
final class CentralPolicy implements Policy {
  /** Source of time. */
  private final ManualTimerService timer;

  /** Backend servers. */
  private final Fleet fleet;

  /** Where the figures go. */
  private final Results results;

  /** Waiting requests by arrival plus slack. */
  private final PriorityQueue<Arrival> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(
                  (Arrival arrival) -> arrival.atMillis() + arrival.requestClass().slackMillis())
              .thenComparingInt(Arrival::number));

  /** Slots in use by backend server. */
  private final int[] used = new int[Fleet.BACKENDS];

  CentralPolicy(ManualTimerService timer, Fleet fleet, Results results) {
    this.timer = timer;
    this.fleet = fleet;
    this.results = results;
  }

  @Override
  public void arrive(Arrival arrival) {
    queue.add(arrival);
    dispatch();
  }

  private void dispatch() {
    while (!queue.isEmpty()) {
      int backend = choose(queue.peek());
      if (backend < 0) {
        return;
      }
      send(queue.poll(), backend);
    }
  }

  private int choose(Arrival arrival) {
    List<Integer> free = new ArrayList<>();
    for (int i = 0; i < Fleet.BACKENDS; i++) {
      if (!Fleet.isFailing(i) && !Fleet.isSlow(i) && used[i] < Fleet.SLOTS) {
        free.add(i);
      }
    }
    return free.stream()
        .min(Comparator.comparingLong(index -> Ways.oneWayMillis(arrival.host(), index)))
        .orElse(-1);
  }

  private void send(Arrival arrival, int backend) {
    used[backend]++;
    results.ran(arrival, backend);
    fleet
        .server(backend)
        .submit(
            arrival,
            (success, served) -> {
              used[backend]--;
              results.answered(arrival, success, timer.monotonicMillis() + Ways.NEAR_TRIP_MILLIS);
              dispatch();
            });
  }
}
