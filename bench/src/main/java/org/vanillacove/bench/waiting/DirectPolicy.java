package org.vanillacove.bench.waiting;

import java.time.Duration;
import java.util.function.ToIntFunction;
import org.vanillacove.standin.memory.ManualTimerService;

/** Sends each request to a backend server immediately, where it waits for a slot. */
final class DirectPolicy implements Policy {
  /** Clock of the simulation. */
  private final ManualTimerService timer;

  /** Backend servers that run the requests. */
  private final Fleet fleet;

  /** Returns the index of the backend server for a request. */
  private final ToIntFunction<Arrival> backendChooser;

  /** Collects the figures of the run. */
  private final Results results;

  DirectPolicy(
      ManualTimerService timer, Fleet fleet, ToIntFunction<Arrival> choice, Results results) {
    this.timer = timer;
    this.fleet = fleet;
    this.backendChooser = choice;
    this.results = results;
  }

  @Override
  public void arrive(Arrival arrival) {
    int backend = backendChooser.applyAsInt(arrival);
    results.recordRun(arrival, backend);
    long way = NetworkLatency.oneWayMillis(arrival.host(), backend);
    timer.after(
        Duration.ofMillis(way),
        () ->
            fleet
                .server(backend)
                .submit(
                    arrival,
                    (success, served) ->
                        results.recordAnswer(arrival, success, timer.monotonicMillis() + way)));
  }
}
