package org.vanillacove.coordination.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Loans that this host holds as a borrower, and the calls that may bring more; thread-safe. */
final class SlotLoans {
  /** Loans by identifier. */
  private final Map<String, Loan> loans = new HashMap<>();

  /** Sequence numbers of calls without an outcome. */
  private final TreeSet<Long> unsettled = new TreeSet<>();

  /** Newest sequence number. */
  private long newest;

  /**
   * A loan.
   *
   * @param backendId backend server
   * @param holder host to tell when it ends
   * @param sequence sequence number of the call that brought it
   * @param endMillis monotonic time by which a request under it has ended at the latest
   */
  record Loan(String backendId, String holder, long sequence, long endMillis) {}

  /** Starts a call and returns its sequence number. */
  synchronized long begin() {
    newest++;
    unsettled.add(newest);
    return newest;
  }

  /** Ends a call: loans that it might still bring are not taken. */
  synchronized void settle(long sequence) {
    unsettled.remove(sequence);
  }

  /** Returns the newest sequence number up to which every call has an outcome. */
  synchronized long settledThrough() {
    return unsettled.isEmpty() ? newest : unsettled.first() - 1;
  }

  synchronized void add(String loanId, Loan loan) {
    loans.put(loanId, loan);
  }

  synchronized Optional<Loan> remove(String loanId) {
    return Optional.ofNullable(loans.remove(loanId));
  }

  synchronized Map<String, Loan> all() {
    return new HashMap<>(loans);
  }

  synchronized Set<String> ids() {
    return new HashSet<>(loans.keySet());
  }
}
