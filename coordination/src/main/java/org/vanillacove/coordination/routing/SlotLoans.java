package org.vanillacove.coordination.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Loans that this host holds as a borrower, and the open calls to borrow more; thread-safe. */
final class SlotLoans {
  /** Loans by loan identifier. */
  private final Map<String, Loan> loans = new HashMap<>();

  /** Sequence numbers of the calls that are not complete. */
  private final TreeSet<Long> openCalls = new TreeSet<>();

  /** Sequence number of the newest call. */
  private long lastSequence;

  /**
   * A loan of a slot.
   *
   * @param backendId identifier of the backend server
   * @param tokenHolder host to notify when the loan ends
   * @param sequence sequence number of the call that requested the loan
   * @param latestEndMillis latest monotonic time at which a request that uses the loan may end
   */
  record Loan(String backendId, String tokenHolder, long sequence, long latestEndMillis) {}

  /** Starts a call and returns its sequence number. */
  synchronized long beginCall() {
    lastSequence++;
    openCalls.add(lastSequence);
    return lastSequence;
  }

  /** Ends a call. Loans in a reply that arrives later are not accepted. */
  synchronized void endCall(long sequence) {
    openCalls.remove(sequence);
  }

  /** Returns the newest sequence number up to which every call is complete. */
  synchronized long settledThrough() {
    return openCalls.isEmpty() ? lastSequence : openCalls.first() - 1;
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
