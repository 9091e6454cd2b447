package org.vanillacove.coordination.work;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Answers of the adviser for one step: the workers it may use and the tickets for them. */
final class StepAdvice {
  /** Workers on which the adviser has decided. */
  private final Set<String> queried = new HashSet<>();

  /** Workers that the step may use; a permission is never withdrawn. */
  private final Set<String> allowed = new HashSet<>();

  /** Latest ticket by worker identifier; may have expired. */
  private final Map<String, Ticket> tickets = new HashMap<>();

  /** Whether a call for this step is queued or in progress. */
  private boolean pending;

  /**
   * Permission of the adviser to use a worker.
   *
   * @param value text passed on with the start command
   * @param endMillis monotonic time until which the ticket may be used, in milliseconds
   */
  private record Ticket(String value, long endMillis) {}

  boolean isPending() {
    return pending;
  }

  void setPending(boolean value) {
    pending = value;
  }

  boolean wasQueried(String worker) {
    return queried.contains(worker);
  }

  boolean isAnswered() {
    return !queried.isEmpty();
  }

  /** Returns the workers that the step may use. */
  Set<String> allowed() {
    return Collections.unmodifiableSet(allowed);
  }

  /** Records the adviser's decision on {@code workers}; {@code granted} holds the tickets. */
  void addAnswer(Iterable<String> workers, Map<String, String> granted, long endMillis) {
    workers.forEach(queried::add);
    granted.forEach(
        (worker, value) -> {
          allowed.add(worker);
          tickets.put(worker, new Ticket(value, endMillis));
        });
  }

  /** Returns whether the ticket for {@code worker} is still valid at {@code nowMillis}. */
  boolean hasTicket(String worker, long nowMillis) {
    Ticket ticket = tickets.get(worker);
    return ticket != null && ticket.endMillis() > nowMillis;
  }

  /** Returns the ticket for {@code worker} if it is still valid at {@code nowMillis}. */
  Optional<String> ticket(String worker, long nowMillis) {
    return Optional.ofNullable(tickets.get(worker))
        .filter(ticket -> ticket.endMillis() > nowMillis)
        .map(Ticket::value);
  }

  /** Removes a ticket that the worker refused. */
  void dropTicket(String worker) {
    tickets.remove(worker);
  }
}
