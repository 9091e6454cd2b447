package org.vanillacove.coordination.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Which workers a step may use, as far as the adviser was asked, and the tickets for them. */
final class StepAdvice {
  /** Workers that the adviser was asked about. */
  private final Set<String> asked = new HashSet<>();

  /** Workers that the step may use; this does not change. */
  private final Set<String> allowed = new HashSet<>();

  /** Newest tickets by worker. */
  private final Map<String, Ticket> tickets = new HashMap<>();

  /** Whether a call for this step waits or is under way. */
  private boolean pending;

  /**
   * A ticket.
   *
   * @param value what the start carries
   * @param endMillis monotonic time until which it may be used
   */
  private record Ticket(String value, long endMillis) {}

  boolean isPending() {
    return pending;
  }

  void pending(boolean value) {
    pending = value;
  }

  boolean wasAsked(String worker) {
    return asked.contains(worker);
  }

  boolean isAnswered() {
    return !asked.isEmpty();
  }

  boolean isAllowed(String worker) {
    return allowed.contains(worker);
  }

  /** Takes the adviser's answer on {@code workers}. */
  void answered(Iterable<String> workers, Map<String, String> good, long endMillis) {
    workers.forEach(asked::add);
    good.forEach(
        (worker, value) -> {
          allowed.add(worker);
          tickets.put(worker, new Ticket(value, endMillis));
        });
  }

  /** Returns the ticket for {@code worker} if it is valid at {@code nowMillis}. */
  Optional<String> ticket(String worker, long nowMillis) {
    return Optional.ofNullable(tickets.get(worker))
        .filter(ticket -> ticket.endMillis() > nowMillis)
        .map(Ticket::value);
  }

  /** Forgets a ticket that a worker refused. */
  void refused(String worker) {
    tickets.remove(worker);
  }
}
