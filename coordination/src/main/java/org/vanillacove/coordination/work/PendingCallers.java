package org.vanillacove.coordination.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Callbacks of callers that wait for the outcome of an operation on a job.
 *
 * @param <T> type of the outcome
 */
final class PendingCallers<T> {
  /** Waiting callbacks by job identifier. */
  private final Map<String, List<Consumer<T>>> callers = new HashMap<>();

  /** Adds a callback that waits for the outcome of {@code job}. */
  void add(String job, Consumer<T> caller) {
    callers.computeIfAbsent(job, id -> new ArrayList<>()).add(caller);
  }

  /** Passes the outcome to the callers that wait for {@code job} and removes them. */
  void answer(String job, T outcome) {
    List<Consumer<T>> waiting = callers.remove(job);
    if (waiting != null) {
      waiting.forEach(caller -> caller.accept(outcome));
    }
  }

  /** Passes the same outcome to all waiting callers, for instance at the end of a term. */
  void answerAll(T outcome) {
    List.copyOf(callers.keySet()).forEach(job -> answer(job, outcome));
  }
}
