package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Callers that wait for an outcome, by job.
 *
 * @param <T> the outcome
 */
final class CallerQueue<T> {
  /** Callers by identifier of the job. */
  private final Map<String, List<Consumer<T>>> callers = new HashMap<>();

  /** Adds a caller. */
  void add(String job, Consumer<T> caller) {
    callers.computeIfAbsent(job, id -> new ArrayList<>()).add(caller);
  }

  /** Answers the callers that wait for {@code job}. */
  void answer(String job, T outcome) {
    List<Consumer<T>> waiting = callers.remove(job);
    if (waiting != null) {
      waiting.forEach(caller -> caller.accept(outcome));
    }
  }

  /** Answers all callers. */
  void answerAll(T outcome) {
    List.copyOf(callers.keySet()).forEach(job -> answer(job, outcome));
  }
}
