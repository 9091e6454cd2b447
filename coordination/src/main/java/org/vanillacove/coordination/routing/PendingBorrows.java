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

/** Borrow requests of peers that wait for a slot; thread-safe. */
final class PendingBorrows {
  /** Waiting borrow requests in order of arrival. */
  private final List<PendingBorrow> borrows = new ArrayList<>();

  /**
   * A waiting borrow request.
   *
   * @param borrower host that wants to borrow
   * @param incarnation process of the borrower
   * @param message borrow request as received
   * @param urgencyMillis urgency of the borrower's most urgent request, as a monotonic time
   * @param untilMillis monotonic time until which the borrower waits
   * @param reply completed with the encoded reply
   */
  record PendingBorrow(
      String borrower,
      long incarnation,
      SlotBorrow message,
      long urgencyMillis,
      long untilMillis,
      CompletableFuture<Optional<ByteString>> reply) {
    /** Sends the loans to the borrower; an empty list rejects the borrow request. */
    void answer(List<SlotLoan> loans) {
      SlotBorrowReply body = SlotBorrowReply.newBuilder().addAllLoans(loans).build();
      reply.complete(Optional.of(body.toByteString()));
    }
  }

  synchronized void add(PendingBorrow pendingBorrow) {
    borrows.add(pendingBorrow);
  }

  synchronized boolean isEmpty() {
    return borrows.isEmpty();
  }

  /** Returns the borrow requests, most urgent first. */
  synchronized List<PendingBorrow> byUrgency() {
    return borrows.stream().sorted(Comparator.comparingLong(PendingBorrow::urgencyMillis)).toList();
  }

  /** Removes a borrow request; false if it was removed already. */
  synchronized boolean remove(PendingBorrow pendingBorrow) {
    return borrows.remove(pendingBorrow);
  }

  /** Removes and returns the borrow request that a peer cancelled, empty if it is not waiting. */
  synchronized Optional<PendingBorrow> cancel(String borrower, long incarnation, long sequence) {
    Iterator<PendingBorrow> each = borrows.iterator();
    while (each.hasNext()) {
      PendingBorrow pendingBorrow = each.next();
      if (pendingBorrow.borrower().equals(borrower)
          && pendingBorrow.incarnation() == incarnation
          && pendingBorrow.message().getSequence() == sequence) {
        each.remove();
        return Optional.of(pendingBorrow);
      }
    }
    return Optional.empty();
  }

  /** Removes and returns the borrow requests that have waited as long as allowed. */
  synchronized List<PendingBorrow> expire(long nowMillis) {
    List<PendingBorrow> expired =
        borrows.stream().filter(pendingBorrow -> pendingBorrow.untilMillis() <= nowMillis).toList();
    borrows.removeAll(expired);
    return expired;
  }
}
