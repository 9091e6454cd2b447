package org.vanillacove.coordination.routing;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.generated.SlotBorrow;
import org.vanillacove.protocol.generated.SlotBorrowReply;
import org.vanillacove.protocol.generated.SlotLoan;

/** Calls of peers that wait for a slot; thread-safe. */
final class SlotWants {
  /** Waiting calls. */
  private final List<Want> wants = new ArrayList<>();

  /**
   * A waiting call.
   *
   * @param borrower host that asks
   * @param incarnation its process
   * @param message its call
   * @param urgencyMillis monotonic time at which its oldest request became urgent
   * @param untilMillis monotonic time until which it waits
   * @param reply its reply
   */
  record Want(
      String borrower,
      long incarnation,
      SlotBorrow message,
      long urgencyMillis,
      long untilMillis,
      CompletableFuture<Optional<ByteString>> reply) {
    /** Answers the call. */
    void answer(List<SlotLoan> loans) {
      SlotBorrowReply body = SlotBorrowReply.newBuilder().addAllLoans(loans).build();
      reply.complete(Optional.of(body.toByteString()));
    }
  }

  synchronized void add(Want want) {
    wants.add(want);
  }

  synchronized boolean isEmpty() {
    return wants.isEmpty();
  }

  /** Returns the wants, most urgent first. */
  synchronized List<Want> byUrgency() {
    return wants.stream().sorted(Comparator.comparingLong(Want::urgencyMillis)).toList();
  }

  /** Removes a want; false if it is gone already. */
  synchronized boolean remove(Want want) {
    return wants.remove(want);
  }

  /** Removes the want that a peer took back. */
  synchronized Optional<Want> cancel(String borrower, long incarnation, long sequence) {
    Iterator<Want> each = wants.iterator();
    while (each.hasNext()) {
      Want want = each.next();
      if (want.borrower().equals(borrower)
          && want.incarnation() == incarnation
          && want.message().getSequence() == sequence) {
        each.remove();
        return Optional.of(want);
      }
    }
    return Optional.empty();
  }

  /** Removes and returns the wants whose patience ended. */
  synchronized List<Want> expire(long nowMillis) {
    List<Want> expired = wants.stream().filter(want -> want.untilMillis() <= nowMillis).toList();
    wants.removeAll(expired);
    return expired;
  }
}
