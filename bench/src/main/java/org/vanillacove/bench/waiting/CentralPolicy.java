package org.vanillacove.bench.waiting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.vanillacove.standin.memory.ManualTimerService;

/**
 * One queue for all entry hosts, or one for those of each region, that knows every slot and every
 * slow or failing backend server without delay: a bound that no policy of separate hosts reaches.
 * The way within a region is part of the answers; the one queue crosses regions in no time, and its
 * slots are in use for the service time alone. Those of the regional queues are also in use while a
 * request and its answer are on the way.
 */
final class CentralPolicy implements Policy {
  /** Source of time. */
  private final ManualTimerService timer;

  /** Backend servers. */
  private final Fleet fleet;

  /** Where the figures go. */
  private final Results results;

  /** Whether each region is on its own. */
  private final boolean byRegion;

  /** Waiting requests by arrival plus slack; one queue, or one for each region. */
  private final List<PriorityQueue<Arrival>> queues = new ArrayList<>();

  /** Slots in use by backend server. */
  private final int[] used = new int[Fleet.BACKENDS];

  CentralPolicy(ManualTimerService timer, Fleet fleet, boolean byRegion, Results results) {
    this.timer = timer;
    this.fleet = fleet;
    this.byRegion = byRegion;
    this.results = results;
    for (int region = 0; region < (byRegion ? Fleet.REGIONS : 1); region++) {
      queues.add(
          new PriorityQueue<>(
              Comparator.comparingLong(
                      (Arrival arrival) ->
                          arrival.atMillis() + arrival.requestClass().slackMillis())
                  .thenComparingInt(Arrival::number)));
    }
  }

  @Override
  public void arrive(Arrival arrival) {
    queues.get(arrival.host() % queues.size()).add(arrival);
    dispatch();
  }

  private void dispatch() {
    queues.forEach(this::dispatch);
  }

  private void dispatch(PriorityQueue<Arrival> queue) {
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
      boolean open = !byRegion || Ways.isNear(arrival.host(), i);
      if (open && !Fleet.isFailing(i) && !Fleet.isSlow(i) && used[i] < Fleet.SLOTS) {
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
              long end = timer.monotonicMillis() + Ways.NEAR_TRIP_MILLIS;
              results.answered(arrival, success, end);
              if (byRegion) {
                timer.after(Duration.ofMillis(Ways.NEAR_TRIP_MILLIS), () -> free(backend));
              } else {
                free(backend);
              }
            });
  }

  private void free(int backend) {
    used[backend]--;
    dispatch();
  }
}
