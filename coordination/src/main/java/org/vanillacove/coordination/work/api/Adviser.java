package org.vanillacove.coordination.work.api;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Asks which workers may run a step. The calls of one host are served in turn. */
public interface Adviser {
  /** Returns the hosts that can make a call now, this one included. */
  List<String> hosts();

  /**
   * Makes a call from {@code host}.
   *
   * @param host the host that calls
   * @param question what is asked
   * @param timeout time for the answer
   * @param done tickets by worker, or empty if there was no answer; on the scheduling thread
   */
  void ask(
      String host,
      Question question,
      Duration timeout,
      Consumer<Optional<Map<String, String>>> done);

  /**
   * What is asked.
   *
   * @param job identifier of the job
   * @param step index of the step
   * @param workers workers to decide on
   */
  record Question(String job, int step, List<String> workers) {}
}
