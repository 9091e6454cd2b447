package org.vanillacove.coordination.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Requests that wait for a slot, each until its deadline; thread-safe. Classes are ordered by the
 * arrival time of their first request plus a slack that is larger for longer work, so that quick
 * requests go first and no class starves. Within a class guests take turns.
 */
public final class WaitQueue {
  /** Waiting requests by class and guest; the guests are in the order of their turns. */
  private final Map<RequestClass, LinkedHashMap<String, ArrayDeque<WaitingRequest>>> queuesByClass =
      new EnumMap<>(RequestClass.class);

  /** Number of waiting requests. */
  private int size;

  /** Creates an empty queue. */
  public WaitQueue() {
    for (RequestClass each : RequestClass.values()) {
      queuesByClass.put(each, new LinkedHashMap<>());
    }
  }

  /**
   * A waiting request.
   *
   * @param request request that waits for a slot
   * @param enqueuedMillis monotonic time at which the request was queued, in milliseconds
   * @param admission completed with the decision about the request
   */
  public record WaitingRequest(
      RoutedRequest request, long enqueuedMillis, CompletableFuture<Admission> admission) {
    /** Returns the time by which classes are ordered, in milliseconds; smaller is more urgent. */
    long urgencyMillis() {
      return enqueuedMillis + request.requestClass().slackMillis();
    }
  }

  /** Returns the number of waiting requests. */
  public synchronized int size() {
    return size;
  }

  /**
   * Adds a request. Beyond {@code limit}, the newest request of the guest with the most waiting
   * requests is removed and returned, which may be the one just added.
   */
  public synchronized Optional<WaitingRequest> offer(WaitingRequest waiting, int limit) {
    guestQueue(waiting).addLast(waiting);
    size++;
    if (size <= limit) {
      return Optional.empty();
    }
    ArrayDeque<WaitingRequest> longest =
        queuesByClass.values().stream()
            .flatMap(guests -> guests.values().stream())
            .max(Comparator.comparingInt(ArrayDeque::size))
            .orElseThrow();
    WaitingRequest evicted = longest.peekLast();
    remove(evicted);
    return Optional.of(evicted);
  }

  /** Returns the first request of each class, most urgent first. */
  public synchronized List<WaitingRequest> heads() {
    List<WaitingRequest> heads = new ArrayList<>(queuesByClass.size());
    for (LinkedHashMap<String, ArrayDeque<WaitingRequest>> guests : queuesByClass.values()) {
      if (!guests.isEmpty()) {
        heads.add(guests.firstEntry().getValue().peekFirst());
      }
    }
    heads.sort(Comparator.comparingLong(WaitingRequest::urgencyMillis));
    return heads;
  }

  /** Removes a request and moves its guest to the end; false if it was removed already. */
  public synchronized boolean remove(WaitingRequest waiting) {
    LinkedHashMap<String, ArrayDeque<WaitingRequest>> guests =
        queuesByClass.get(waiting.request().requestClass());
    String guest = waiting.request().guest();
    ArrayDeque<WaitingRequest> queue = guests.get(guest);
    if (queue == null || !queue.remove(waiting)) {
      return false;
    }
    size--;
    guests.remove(guest);
    if (!queue.isEmpty()) {
      guests.putLast(guest, queue);
    }
    return true;
  }

  /** Returns the maximum number of requests served before a new one of this guest and class. */
  public synchronized int countAhead(RoutedRequest request) {
    Map<String, ArrayDeque<WaitingRequest>> guests = queuesByClass.get(request.requestClass());
    ArrayDeque<WaitingRequest> own = guests.get(request.guest());
    int turns = own == null ? 1 : own.size() + 1;
    int others = 0;
    for (RequestClass each : RequestClass.values()) {
      others += each == request.requestClass() ? 0 : count(each);
    }
    return others + Math.min(count(request.requestClass()), turns * Math.max(1, guests.size()));
  }

  /** Removes and returns the requests whose deadline has passed. */
  public synchronized List<WaitingRequest> expire(long nowMillis) {
    List<WaitingRequest> expired =
        queuesByClass.values().stream()
            .flatMap(guests -> guests.values().stream())
            .flatMap(ArrayDeque::stream)
            .filter(waiting -> waiting.request().deadlineMillis() <= nowMillis)
            .toList();
    expired.forEach(this::remove);
    return expired;
  }

  private int count(RequestClass requestClass) {
    return queuesByClass.get(requestClass).values().stream().mapToInt(ArrayDeque::size).sum();
  }

  private ArrayDeque<WaitingRequest> guestQueue(WaitingRequest waiting) {
    return queuesByClass
        .get(waiting.request().requestClass())
        .computeIfAbsent(waiting.request().guest(), guest -> new ArrayDeque<>());
  }
}
