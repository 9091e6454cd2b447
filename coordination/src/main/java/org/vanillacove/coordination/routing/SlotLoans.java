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
  private final TreeSet<Long> openCalls = new TreeSet<>();

  /** Newest sequence number. */
  private long lastSequence;

  /**
   * A loan.
   *
   * @param backendId backend server
   * @param tokenHolder host to tell when it ends
   * @param sequence sequence number of the call that brought it
   * @param latestEndMillis monotonic time by which a request under it has ended at the latest
   */
  record Loan(String backendId, String tokenHolder, long sequence, long latestEndMillis) {}

  /** Starts a call and returns its sequence number. */
  synchronized long beginCall() {
    lastSequence++;
    openCalls.add(lastSequence);
    return lastSequence;
  }

  /** Ends a call: loans that it might still bring are not taken. */
  synchronized void endCall(long sequence) {
    openCalls.remove(sequence);
  }

  /** Returns the newest sequence number up to which every call has an outcome. */
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
