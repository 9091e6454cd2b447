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
 * Requests that wait for a slot, each until its deadline. Classes take turns by age plus a slack
 * that is larger for longer work, so that quick requests go first and none starves; within a class
 * guests take turns; thread-safe.
 */
public final class WaitQueue {
  /** Waiting requests by class, then by guest in order of their turn. */
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
   * @param request the request
   * @param enqueuedMillis monotonic time at which it began to wait, in milliseconds
   * @param admission completed when it leaves the queue
   */
  public record WaitingRequest(
      RoutedRequest request, long enqueuedMillis, CompletableFuture<Admission> admission) {
    /** Returns the time by which it is ordered against other classes, in milliseconds. */
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

  /** Removes a request and gives the turn to the next guest; false if it is gone already. */
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

  /** Returns how many requests are served before a new one of this guest and class, at most. */
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

  /** Removes and returns the requests whose deadline is over. */
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
