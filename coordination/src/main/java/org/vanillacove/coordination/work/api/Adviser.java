package org.vanillacove.coordination.work.api;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Requests decisions on which workers may run a step. The calls of one host are served in sequence.
 */
public interface Adviser {
  /** Returns the hosts that can call the adviser now, including this one. */
  List<String> hosts();

  /**
   * Calls the adviser from {@code host}.
   *
   * @param host name of the host that makes the call
   * @param question step and workers to decide on
   * @param timeout maximum time for the answer
   * @param done called once on the scheduling thread with the tickets by worker identifier, or
   *     empty if there was no answer
   */
  void requestAdvice(
      String host,
      AdviceRequest question,
      Duration timeout,
      Consumer<Optional<Map<String, String>>> done);

  /**
   * A step and the workers that the adviser decides on.
   *
   * @param job identifier of the job
   * @param step index of the step
   * @param workers identifiers of the workers
   */
  record AdviceRequest(String job, int step, List<String> workers) {}
}
