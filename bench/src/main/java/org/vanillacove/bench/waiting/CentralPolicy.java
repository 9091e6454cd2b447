package org.vanillacove.bench.waiting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.vanillacove.standin.memory.ManualTimerService;

/**
 * Lower bound of the waiting time: one queue for all entry hosts, or one for each region, with
 * immediate knowledge of every free slot and every slow or failing backend server. Policies of
 * separate hosts can't reach it. Answers include the round-trip time within a region. The single
 * queue crosses regions without latency and uses slots for the service time only; regional queues
 * also use them for the round-trip time of the request.
 */
final class CentralPolicy implements Policy {
  /** Clock of the simulation. */
  private final ManualTimerService timer;

  /** Backend servers that run the requests. */
  private final Fleet fleet;

  /** Collects the figures of the run. */
  private final Results results;

  /** Whether each region has its own queue and uses only its own backend servers. */
  private final boolean byRegion;

  /** Waiting requests ordered by arrival plus slack; one queue, or one for each region. */
  private final List<PriorityQueue<Arrival>> queues = new ArrayList<>();

  /** Number of slots in use, by backend server. */
  private final int[] usedSlots = new int[Fleet.BACKENDS];

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
      int backend = chooseBackend(queue.peek());
      if (backend < 0) {
        return;
      }
      send(queue.poll(), backend);
    }
  }

  private int chooseBackend(Arrival arrival) {
    List<Integer> free = new ArrayList<>();
    for (int i = 0; i < Fleet.BACKENDS; i++) {
      boolean open = !byRegion || NetworkLatency.isSameRegion(arrival.host(), i);
      if (open && !Fleet.isFailing(i) && !Fleet.isSlow(i) && usedSlots[i] < Fleet.SLOTS) {
        free.add(i);
      }
    }
    return free.stream()
        .min(Comparator.comparingLong(index -> NetworkLatency.oneWayMillis(arrival.host(), index)))
        .orElse(-1);
  }

  private void send(Arrival arrival, int backend) {
    usedSlots[backend]++;
    results.recordRun(arrival, backend);
    fleet
        .server(backend)
        .submit(
            arrival,
            (success, served) -> {
              long end = timer.monotonicMillis() + NetworkLatency.SAME_REGION_ROUND_TRIP_MILLIS;
              results.recordAnswer(arrival, success, end);
              if (byRegion) {
                timer.after(
                    Duration.ofMillis(NetworkLatency.SAME_REGION_ROUND_TRIP_MILLIS),
                    () -> releaseSlot(backend));
              } else {
                releaseSlot(backend);
              }
            });
  }

  private void releaseSlot(int backend) {
    usedSlots[backend]--;
    dispatch();
  }
}
