package org.vanillacove.coordination.routing;

import java.util.HashSet;
import java.util.Set;

/**
 * Properties of a guest's request that routing depends on.
 *
 * @param id identifier, unique among the requests of a guest
 * @param guest guest that sent the request; guests share slots fairly
 * @param requestClass latency class, which decides the priority in the queue
 * @param idempotent whether the request may run more than once
 * @param deadlineMillis monotonic time by which the guest needs the response, in milliseconds
 * @param avoided identifiers of the backend servers on which earlier attempts failed
 */
public record RoutedRequest(
    String id,
    String guest,
    RequestClass requestClass,
    boolean idempotent,
    long deadlineMillis,
    Set<String> avoided) {
  /** Makes a defensive copy of the avoided backend servers. */
  public RoutedRequest {
    avoided = Set.copyOf(avoided);
  }

  /** Returns a copy of this request that avoids one more backend server. */
  public RoutedRequest avoiding(String backendId) {
    if (avoided.contains(backendId)) {
      return this;
    }
    Set<String> more = new HashSet<>(avoided);
    more.add(backendId);
    return new RoutedRequest(id, guest, requestClass, idempotent, deadlineMillis, more);
  }
}
