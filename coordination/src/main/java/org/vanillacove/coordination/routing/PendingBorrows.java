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
final class PendingBorrows {
  /** Waiting calls. */
  private final List<PendingBorrow> borrows = new ArrayList<>();

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
  record PendingBorrow(
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

  synchronized void add(PendingBorrow want) {
    borrows.add(want);
  }

  synchronized boolean isEmpty() {
    return borrows.isEmpty();
  }

  /** Returns the wants, most urgent first. */
  synchronized List<PendingBorrow> byUrgency() {
    return borrows.stream().sorted(Comparator.comparingLong(PendingBorrow::urgencyMillis)).toList();
  }

  /** Removes a want; false if it is gone already. */
  synchronized boolean remove(PendingBorrow want) {
    return borrows.remove(want);
  }

  /** Removes the want that a peer took back. */
  synchronized Optional<PendingBorrow> cancel(String borrower, long incarnation, long sequence) {
    Iterator<PendingBorrow> each = borrows.iterator();
    while (each.hasNext()) {
      PendingBorrow want = each.next();
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
  synchronized List<PendingBorrow> expire(long nowMillis) {
    List<PendingBorrow> expired =
        borrows.stream().filter(want -> want.untilMillis() <= nowMillis).toList();
    borrows.removeAll(expired);
    return expired;
  }
}
