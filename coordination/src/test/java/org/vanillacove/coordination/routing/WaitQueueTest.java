package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests {@link WaitQueue}. */
class WaitQueueTest {
  private static final int LIMIT = 10;
  private final WaitQueue queue = new WaitQueue();

  @Test
  void quickClassGoesFirstUntilOthersExceedTheirSlack() {
    add("heavy", "a", RequestClass.HEAVY, 0);
    add("middle", "a", RequestClass.MIDDLE, 1_100);
    add("quick", "a", RequestClass.QUICK, 1_450);
    add("late", "b", RequestClass.QUICK, 1_600);

    assertThat(drain()).containsExactly("middle", "quick", "heavy", "late");
  }

  @Test
  void guestsAlternateWithinClass() {
    for (int i = 0; i < 3; i++) {
      add("flood" + i, "flood", RequestClass.QUICK, i);
    }
    add("other", "other", RequestClass.QUICK, 5);

    assertThat(drain()).containsExactly("flood0", "other", "flood1", "flood2");
  }

  @Test
  void newestRequestOfLongestGuestQueueIsEvictedAtLimit() {
    for (int i = 0; i < LIMIT; i++) {
      add("flood" + i, "flood", RequestClass.QUICK, i);
    }

    assertThat(queue.offer(waiting("other", "other", RequestClass.QUICK, 20), LIMIT))
        .hasValueSatisfying(
            evicted -> assertThat(evicted.request().id()).isEqualTo("flood" + (LIMIT - 1)));
    assertThat(queue.size()).isEqualTo(LIMIT);
    assertThat(drain()).contains("other").doesNotContain("flood" + (LIMIT - 1));
  }

  @Test
  void expireRemovesOnlyRequestsPastDeadline() {
    add("old", "a", RequestClass.QUICK, 0);
    add("new", "a", RequestClass.QUICK, 100);

    assertThat(queue.expire(1_050)).extracting(each -> each.request().id()).containsExactly("old");
    assertThat(drain()).containsExactly("new");
  }

  @Test
  void countAheadIgnoresExcessRequestsOfOtherGuests() {
    for (int i = 0; i < LIMIT; i++) {
      add("flood" + i, "flood", RequestClass.QUICK, i);
    }

    assertThat(queue.countAhead(waiting("x", "other", RequestClass.QUICK, 20).request()))
        .isLessThanOrEqualTo(2);
    assertThat(queue.countAhead(waiting("x", "flood", RequestClass.QUICK, 20).request()))
        .isEqualTo(LIMIT);
  }

  private void add(String id, String guest, RequestClass requestClass, long atMillis) {
    assertThat(queue.offer(waiting(id, guest, requestClass, atMillis), LIMIT)).isEmpty();
  }

  private static WaitQueue.WaitingRequest waiting(
      String id, String guest, RequestClass requestClass, long atMillis) {
    RoutedRequest request =
        new RoutedRequest(id, guest, requestClass, true, atMillis + 1_000, Set.of());
    return new WaitQueue.WaitingRequest(request, atMillis, new CompletableFuture<>());
  }

  private List<String> drain() {
    List<String> ids = new ArrayList<>();
    while (queue.size() > 0) {
      WaitQueue.WaitingRequest next = queue.heads().getFirst();
      assertThat(queue.remove(next)).isTrue();
      assertThat(queue.remove(next)).isFalse();
      ids.add(next.request().id());
    }
    return ids;
  }
}
