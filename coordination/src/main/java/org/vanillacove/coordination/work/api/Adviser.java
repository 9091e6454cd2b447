package org.vanillacove.coordination.work.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Asks which workers may run a step. One call at a time is served for each calling host. */
public interface Adviser {
  /** Returns the hosts that can make a call now, this one included. */
  List<String> hosts();

  /**
   * Makes a call from {@code host}.
   *
   * @param host the host that calls
   * @param job identifier of the job
   * @param step index of the step
   * @param workers workers to decide on
   * @param done tickets by worker, or empty if there was no answer; on the scheduling thread
   */
  void ask(
      String host,
      String job,
      int step,
      List<String> workers,
      Consumer<Optional<Map<String, String>>> done);
}
