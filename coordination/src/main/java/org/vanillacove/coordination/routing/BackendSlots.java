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

/** Slots of one backend server as this host knows them; a shard under its own lock. */
final class BackendSlots {
  /** Backend server. */
  private final String backendId;

  /** Slots of this host's own token in use by its own requests. */
  private final Set<SlotHold> localHolds = new HashSet<>();

  /** Lent slots by loan identifier. */
  private final Map<String, LentSlot> lent = new HashMap<>();

  /** Monotonic times at which slots of unknown use are free, in milliseconds. */
  private final List<Long> unknownUseUntilMillis = new ArrayList<>();

  /** Borrowed slots that no request uses yet. */
  private final ArrayDeque<BorrowedSlot> idleBorrowed = new ArrayDeque<>();

  /** Whether this host holds the token, so that it alone gives out slots. */
  private boolean tokenHeld;

  /** Number of times that the token was passed on, as far as this host knows. */
  private long term;

  /** How the token was passed on last, null if it never was or came back. */
  private TransferredToken lastTransfer;

  /** Host that was told that this one will not take the token from others, empty if none. */
  private String promisedTo = "";

  /** Monotonic time until which the promise binds at least, in milliseconds. */
  private long promisedUntilMillis;

  /** Membership at the promise, which binds until it changes. */
  private int promisedMembershipHash;

  BackendSlots(String backendId) {
    this.backendId = backendId;
  }

  /**
   * A lent slot.
   *
   * @param borrower host that borrowed it
   * @param incarnation process of the borrower
   * @param sequence sequence number of the borrower's call
   * @param reclaimMillis monotonic time at which it is free even if nothing was heard
   */
  record LentSlot(String borrower, long incarnation, long sequence, long reclaimMillis) {}

  /**
   * A borrowed slot.
   *
   * @param loanId loan
   * @param lender host that lent it
   * @param leaseUntilMillis monotonic time until which a request may start on it
   */
  record BorrowedSlot(String loanId, String lender, long leaseUntilMillis) {}

  /**
   * A token that was passed on.
   *
   * @param receiver host that got it
   * @param incarnation process that got it, zero for whichever runs there
   * @param transfer the message
   */
  record TransferredToken(String receiver, long incarnation, SlotTransfer transfer) {}

  synchronized boolean isTokenHeld() {
    return tokenHeld;
  }

  /** Returns how many slots of the token are free. */
  synchronized int free(long nowMillis, int limit) {
    if (!tokenHeld) {
      return 0;
    }
    expire(nowMillis);
    return Math.max(0, limit - localHolds.size() - lent.size() - unknownUseUntilMillis.size());
  }

  /** Returns how many slots a request of this host could take. */
  synchronized int available(long nowMillis, int limit) {
    int free = free(nowMillis, limit);
    return idleBorrowed.isEmpty() ? free : free + countUsableIdle(nowMillis);
  }

  /** Returns how many slots of the token are counted as used. */
  synchronized int used(long nowMillis) {
    expire(nowMillis);
    return localHolds.size() + lent.size() + unknownUseUntilMillis.size();
  }

  /** Takes a slot for a request of this host. */
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

  /** Frees a slot of the own token; false if the token was passed on meanwhile. */
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

  /** Ends a loan; false if it is not known. */
  synchronized boolean endLoan(String loanId) {
    return lent.remove(loanId) != null;
  }

  /** Ends the settled loans of a borrower that it does not hold any more. */
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

  /** Takes a borrowed slot and records it; false if a promise to another host forbids it. */
  synchronized boolean addBorrowed(BorrowedSlot slot, long nowMillis, int view, Runnable record) {
    if (isPromisedAwayFrom(slot.lender(), nowMillis, view)) {
      return false;
    }
    record.run();
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
   * Gives the token away; slots in use here become loans named by {@code loanOf}.
   *
   * @param knownTerm newest term that the receiver knows, which takes no older one
   */
  synchronized Optional<SlotTransfer> transferToken(
      String receiver,
      long process,
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
    lastTransfer = new TransferredToken(receiver, process, transfer.build());
    return Optional.of(lastTransfer.transfer());
  }

  /** Returns how the token was passed on, empty if it never was or came back. */
  synchronized Optional<TransferredToken> lastTransfer() {
    return Optional.ofNullable(lastTransfer);
  }

  /** Takes a token that was passed on; false if it is an old message or promised to another. */
  synchronized boolean acceptTransfer(
      String from, SlotTransfer transfer, long nowMillis, int view) {
    if (tokenHeld || transfer.getTerm() <= term || isPromisedAwayFrom(from, nowMillis, view)) {
      return tokenHeld && transfer.getTerm() == term;
    }
    unknownUseUntilMillis.clear();
    transfer
        .getLimboMillisList()
        .forEach(remaining -> unknownUseUntilMillis.add(nowMillis + remaining));
    acquireToken(transfer.getLoansList(), transfer.getTerm(), nowMillis);
    return true;
  }

  /** Takes the token because nobody else can hold it any more. */
  synchronized void takeOver(
      List<SlotLoan> loans, int unknown, long unknownUntilMillis, long nowMillis) {
    unknownUseUntilMillis.clear();
    for (int i = 0; i < unknown; i++) {
      unknownUseUntilMillis.add(unknownUntilMillis);
    }
    acquireToken(loans, term + 1, nowMillis);
  }

  /**
   * Promises a host not to take the token from anyone else until a monotonic time has come and the
   * membership changed.
   */
  synchronized void promise(String hostId, long untilMillis, int view) {
    promisedTo = hostId;
    promisedUntilMillis = untilMillis;
    promisedMembershipHash = view;
  }

  /** Returns whether a promise forbids to take the token or a slot from {@code hostId}. */
  synchronized boolean isPromisedAwayFrom(String hostId, long nowMillis, int view) {
    boolean binds = nowMillis < promisedUntilMillis || view == promisedMembershipHash;
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
