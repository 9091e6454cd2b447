package org.vanillacove.coordination.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.vanillacove.protocol.generated.SlotLoan;
import org.vanillacove.protocol.generated.SlotTransfer;

/** Slots of one backend server that this host owns, lends or borrows; guarded by its own lock. */
final class BackendSlots {
  /** Identifier of the backend server. */
  private final String backendId;

  /** Slots of the token held by this host that its own requests use. */
  private final Set<SlotHold> localHolds = new HashSet<>();

  /** Slots lent to peers, by identifier of the loan. */
  private final Map<String, LentSlot> lent = new HashMap<>();

  /**
   * Monotonic times in milliseconds at which slots of unknown use count as free, one entry per
   * slot.
   */
  private final List<Long> unknownUseUntilMillis = new ArrayList<>();

  /** Borrowed slots that no request uses yet, oldest first. */
  private final ArrayDeque<BorrowedSlot> idleBorrowed = new ArrayDeque<>();

  /** Whether this host holds the token and thus is the only one to give out slots. */
  private boolean tokenHeld;

  /** Newest term of the token that this host knows; each transfer or takeover increments it. */
  private long term;

  /** Last transfer of the token by this host, null if there was none or the token came back. */
  private TransferredToken lastTransfer;

  /** Host that this one promised not to take the token from others, empty if none. */
  private String promisedTo = "";

  /**
   * Monotonic time until which the promise binds at least, in milliseconds; see {@link #promise}.
   */
  private long promisedUntilMillis;

  /** Hash of the membership at the time of the promise, which binds at least until it changes. */
  private int promisedMembershipHash;

  BackendSlots(String backendId) {
    this.backendId = backendId;
  }

  /**
   * A slot lent to a peer.
   *
   * @param borrower host that borrowed the slot
   * @param incarnation process of the borrower
   * @param sequence sequence number of the borrower's call
   * @param reclaimMillis monotonic time at which the slot counts as free even if the borrower did
   *     not return it
   */
  record LentSlot(String borrower, long incarnation, long sequence, long reclaimMillis) {}

  /**
   * A slot borrowed from a peer.
   *
   * @param loanId identifier of the loan
   * @param lender host that lent the slot
   * @param leaseUntilMillis monotonic time until which a request may start on it
   */
  record BorrowedSlot(String loanId, String lender, long leaseUntilMillis) {}

  /**
   * A token that was transferred to another host.
   *
   * @param receiver host that the token was sent to, empty if it was given up
   * @param incarnation process that the token was sent to, zero for any process of that host
   * @param transfer message that carries the token, kept so that it can be sent again
   */
  record TransferredToken(String receiver, long incarnation, SlotTransfer transfer) {}

  synchronized boolean isTokenHeld() {
    return tokenHeld;
  }

  /** Returns the number of free slots of the token, zero if this host does not hold it. */
  synchronized int free(long nowMillis, int limit) {
    if (!tokenHeld) {
      return 0;
    }
    expire(nowMillis);
    return Math.max(0, limit - localHolds.size() - lent.size() - unknownUseUntilMillis.size());
  }

  /** Returns the number of slots that requests of this host could take, own and borrowed. */
  synchronized int available(long nowMillis, int limit) {
    int free = free(nowMillis, limit);
    return idleBorrowed.isEmpty() ? free : free + countUsableIdle(nowMillis);
  }

  /** Returns the number of slots counted as used: by local requests, as loans or of unknown use. */
  synchronized int used(long nowMillis) {
    expire(nowMillis);
    return localHolds.size() + lent.size() + unknownUseUntilMillis.size();
  }

  /** Takes a slot for a request of this host, borrowed slots first; empty if none is available. */
  synchronized Optional<SlotHold> take(long nowMillis, int limit, Consumer<SlotHold> onRelease) {
    Optional<BorrowedSlot> borrowed =
        idleBorrowed.stream().filter(slot -> slot.leaseUntilMillis() > nowMillis).findFirst();
    if (borrowed.isPresent()) {
      idleBorrowed.remove(borrowed.get());
      return Optional.of(new SlotHold(backendId, borrowed.get().loanId(), onRelease));
    }
    if (free(nowMillis, limit) <= 0) {
      return Optional.empty();
    }
    SlotHold hold = new SlotHold(backendId, "", onRelease);
    localHolds.add(hold);
    return Optional.of(hold);
  }

  /** Frees a slot of this host's own token; false if the token was transferred meanwhile. */
  synchronized boolean releaseOwn(SlotHold hold) {
    return localHolds.remove(hold);
  }

  /** Lends a slot if one is free. */
  synchronized boolean lend(String loanId, LentSlot loan, long nowMillis, int limit) {
    if (free(nowMillis, limit) <= 0) {
      return false;
    }
    lent.put(loanId, loan);
    return true;
  }

  /** Ends a loan; false if this host has no such loan. */
  synchronized boolean endLoan(String loanId) {
    return lent.remove(loanId) != null;
  }

  /**
   * Ends the loans to a borrower that it does not hold, if the calls that brought them are
   * complete.
   */
  synchronized boolean reconcile(
      String borrower, long incarnation, long settledThrough, Set<String> heldLoans) {
    return lent.entrySet()
        .removeIf(
            entry ->
                entry.getValue().borrower().equals(borrower)
                    && entry.getValue().incarnation() == incarnation
                    && entry.getValue().sequence() <= settledThrough
                    && !heldLoans.contains(entry.getKey()));
  }

  /** Adds a borrowed slot and records its loan; false if a promise to another host forbids it. */
  synchronized boolean addBorrowed(
      BorrowedSlot slot, long nowMillis, int membershipHash, Runnable recordLoan) {
    if (isPromisedAwayFrom(slot.lender(), nowMillis, membershipHash)) {
      return false;
    }
    recordLoan.run();
    idleBorrowed.add(slot);
    return true;
  }

  /** Removes and returns the borrowed slots that no request uses. */
  synchronized List<BorrowedSlot> drainIdle() {
    List<BorrowedSlot> unused = new ArrayList<>(idleBorrowed);
    idleBorrowed.clear();
    return unused;
  }

  /** Returns the newest term of the token that this host knows. */
  synchronized long term() {
    return term;
  }

  /**
   * Transfers the token if this host holds it; {@code loanOf} turns each slot in use here into a
   * loan.
   *
   * @param knownTerm newest term that the receiver knows; it accepts only newer ones
   */
  synchronized Optional<SlotTransfer> transferToken(
      String receiver,
      long receiverIncarnation,
      long knownTerm,
      long nowMillis,
      Function<SlotHold, SlotLoan> loanOf) {
    if (!tokenHeld) {
      return Optional.empty();
    }
    expire(nowMillis);
    term = Math.max(term, knownTerm) + 1;
    SlotTransfer.Builder transfer = SlotTransfer.newBuilder().setBackendId(backendId).setTerm(term);
    localHolds.forEach(hold -> transfer.addLoans(loanOf.apply(hold)));
    lent.forEach((loanId, loan) -> transfer.addLoans(loanMessage(loanId, loan, nowMillis)));
    unknownUseUntilMillis.forEach(until -> transfer.addLimboMillis(until - nowMillis));
    localHolds.clear();
    lent.clear();
    unknownUseUntilMillis.clear();
    tokenHeld = false;
    lastTransfer = new TransferredToken(receiver, receiverIncarnation, transfer.build());
    return Optional.of(lastTransfer.transfer());
  }

  /** Returns the last transfer of the token, empty if there was none or the token came back. */
  synchronized Optional<TransferredToken> lastTransfer() {
    return Optional.ofNullable(lastTransfer);
  }

  /**
   * Accepts a transferred token; false if the transfer is outdated or a promise to another host
   * forbids it. Returns true for a repeated transfer that was already accepted.
   */
  synchronized boolean acceptTransfer(
      String from, SlotTransfer transfer, long nowMillis, int membershipHash) {
    if (tokenHeld
        || transfer.getTerm() <= term
        || isPromisedAwayFrom(from, nowMillis, membershipHash)) {
      return tokenHeld && transfer.getTerm() == term;
    }
    unknownUseUntilMillis.clear();
    transfer
        .getLimboMillisList()
        .forEach(remaining -> unknownUseUntilMillis.add(nowMillis + remaining));
    acquireToken(transfer.getLoansList(), transfer.getTerm(), nowMillis);
    return true;
  }

  /** Takes over the token, which no other process can still hold, with its known loans. */
  synchronized void takeOver(
      List<SlotLoan> loans, int unknown, long unknownUntilMillis, long nowMillis) {
    unknownUseUntilMillis.clear();
    for (int i = 0; i < unknown; i++) {
      unknownUseUntilMillis.add(unknownUntilMillis);
    }
    acquireToken(loans, term + 1, nowMillis);
  }

  /**
   * Promises a host not to accept the token or its slots from any other host. The promise binds
   * until both {@code untilMillis} has passed and the membership has changed.
   */
  synchronized void promise(String hostId, long untilMillis, int membershipHash) {
    promisedTo = hostId;
    promisedUntilMillis = untilMillis;
    promisedMembershipHash = membershipHash;
  }

  /** Returns whether a promise forbids accepting the token or a slot from {@code hostId}. */
  synchronized boolean isPromisedAwayFrom(String hostId, long nowMillis, int membershipHash) {
    boolean binds = nowMillis < promisedUntilMillis || membershipHash == promisedMembershipHash;
    return !promisedTo.isEmpty() && binds && !promisedTo.equals(hostId);
  }

  private void acquireToken(List<SlotLoan> loans, long newTerm, long nowMillis) {
    lent.clear();
    for (SlotLoan loan : loans) {
      lent.put(
          loan.getLoanId(),
          new LentSlot(
              loan.getBorrower(),
              loan.getIncarnation(),
              loan.getSequence(),
              nowMillis + loan.getRemainingMillis()));
    }
    tokenHeld = true;
    promisedTo = "";
    term = newTerm;
    lastTransfer = null;
  }

  private void expire(long nowMillis) {
    if (!unknownUseUntilMillis.isEmpty()) {
      unknownUseUntilMillis.removeIf(until -> until <= nowMillis);
    }
    if (!lent.isEmpty()) {
      lent.values().removeIf(loan -> loan.reclaimMillis() <= nowMillis);
    }
  }

  private int countUsableIdle(long nowMillis) {
    return (int) idleBorrowed.stream().filter(slot -> slot.leaseUntilMillis() > nowMillis).count();
  }

  private SlotLoan loanMessage(String loanId, LentSlot loan, long nowMillis) {
    return SlotLoan.newBuilder()
        .setLoanId(loanId)
        .setBackendId(backendId)
        .setBorrower(loan.borrower())
        .setIncarnation(loan.incarnation())
        .setSequence(loan.sequence())
        .setRemainingMillis(loan.reclaimMillis() - nowMillis)
        .build();
  }
}
