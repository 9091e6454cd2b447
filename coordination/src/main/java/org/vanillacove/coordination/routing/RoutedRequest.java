package org.vanillacove.coordination.routing;

import java.util.HashSet;
import java.util.Set;

/**
 * A request as the router sees it.
 *
 * @param id identifier, unique for each request of a guest
 * @param guest who sent it; fairness is kept among guests
 * @param requestClass its class
 * @param idempotent whether it may run more than once
 * @param deadlineMillis monotonic time by which the guest needs the answer, in milliseconds
 * @param avoided backend servers that earlier attempts failed on
 */
public record RoutedRequest(
    String id,
    String guest,
    RequestClass requestClass,
    boolean idempotent,
    long deadlineMillis,
    Set<String> avoided) {
  /** Copies the avoided backend servers. */
  public RoutedRequest {
    avoided = Set.copyOf(avoided);
  }

  /** Returns the same request, avoiding one more backend server. */
  public RoutedRequest avoiding(String backendId) {
    if (avoided.contains(backendId)) {
      return this;
    }
    Set<String> more = new HashSet<>(avoided);
    more.add(backendId);
    return new RoutedRequest(id, guest, requestClass, idempotent, deadlineMillis, more);
  }
}
