package org.vanillacove.bench.waiting;

import java.time.Duration;
import java.util.function.ToIntFunction;
import org.vanillacove.standin.memory.ManualTimerService;

/** Sends each request to a backend server at once; it waits there. */
final class DirectPolicy implements Policy {
  /** Source of time. */
  private final ManualTimerService timer;

  /** Backend servers. */
  private final Fleet fleet;

  /** Chooses the backend server. */
  private final ToIntFunction<Arrival> choice;

  /** Where the figures go. */
  private final Results results;

  DirectPolicy(
      ManualTimerService timer, Fleet fleet, ToIntFunction<Arrival> choice, Results results) {
    this.timer = timer;
    this.fleet = fleet;
    this.choice = choice;
    this.results = results;
  }

  @Override
  public void arrive(Arrival arrival) {
    int backend = choice.applyAsInt(arrival);
    results.ran(arrival, backend);
    long way = Ways.oneWayMillis(arrival.host(), backend);
    timer.after(
        Duration.ofMillis(way),
        () ->
            fleet
                .server(backend)
                .submit(
                    arrival,
                    (success, served) ->
                        results.answered(arrival, success, timer.monotonicMillis() + way)));
  }
}
