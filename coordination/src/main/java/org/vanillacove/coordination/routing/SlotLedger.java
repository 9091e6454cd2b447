package org.vanillacove.coordination.routing;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.protocol.generated.SlotBorrow;
import org.vanillacove.protocol.generated.SlotHoldings;
import org.vanillacove.protocol.generated.SlotLoan;
import org.vanillacove.protocol.generated.SlotMessage;
import org.vanillacove.protocol.generated.SlotReturn;
import org.vanillacove.protocol.generated.SlotTransfer;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.RoutingSettings;

/**
 * Tracks the slots of all backend servers that this host owns, lends or borrows. For each backend
 * server at most one host holds the token. Only that host gives out slots, to its own requests and
 * as loans to peers, so that the slots in use on all hosts together never exceed the limit.
 */
public final class SlotLedger {
  /** Membership as seen by this host; says whether it has a host lease. */
  private final Membership membership;

  /** Sends messages to peers. */
  private final PeerLink link;

  /** Source of monotonic time. */
  private final TimerService timer;

  /** Supplies the routing settings currently in force. */
  private final Supplier<RoutingSettings> settings;

  /** Bounds on host leases and clocks that the slot limit depends on. */
  private final SlotTiming timing;

  /** Random number that distinguishes this process from earlier ones on this host. */
  private final long incarnation;

  /** Slots by identifier of the backend server, each under its own lock. */
  private final Map<String, BackendSlots> shards = new ConcurrentHashMap<>();

  /** Loans that this host holds as a borrower. */
  private final SlotLoans loans = new SlotLoans();

  /** Borrow requests of peers that wait for a slot. */
  private final PendingBorrows pendingBorrows = new PendingBorrows();

  /** Number of loan identifiers created; makes them unique within this process. */
  private final AtomicLong loanCount = new AtomicLong();

  /** Monotonic time at which this host was last seen to have a host lease, in milliseconds. */
  private final AtomicLong hostLeaseSeenMillis = new AtomicLong();

  /** Whether a slot was borrowed since unused ones were last returned. */
  private final AtomicBoolean borrowedSinceReturn = new AtomicBoolean();

  /** Listener called when a slot may have become free or a peer asks for one. */
  private volatile Runnable onSlotFreed = () -> {};

  /** Whether this host is leaving: it transfers its tokens and neither lends nor accepts any. */
  private volatile boolean draining;

  /** Creates a ledger that holds no tokens. */
  public SlotLedger(
      Membership membership,
      PeerLink link,
      TimerService timer,
      Supplier<RoutingSettings> settings,
      SlotTiming timing,
      long incarnation) {
    this.membership = membership;
    this.link = link;
    this.timer = timer;
    this.settings = settings;
    this.timing = timing;
    this.incarnation = incarnation;
    hostLeaseSeenMillis.set(timer.monotonicMillis());
  }

  /** Sets the listener called when a slot may have become free or a peer requests one. */
  void onSlotFreed(Runnable listener) {
    onSlotFreed = listener;
  }

  /** Notifies the listener that a slot may have become free. */
  void notifySlotFreed() {
    onSlotFreed.run();
  }

  /**
   * Returns the number of slots that requests of this host could take, provided that it has a host
   * lease.
   */
  public int available(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard == null ? 0 : shard.available(now(), limit());
  }

  /**
   * Takes a slot for a request of this host, empty if none is free or this host has no host lease.
   */
  public Optional<SlotHold> take(String backendId) {
    if (!checkHostLease()) {
      return Optional.empty();
    }
    return shard(backendId).take(now(), limit(), this::release);
  }

  /** Returns whether this host holds the token of a backend server. */
  public boolean holdsToken(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard != null && shard.isTokenHeld();
  }

  /** Returns the number of slots counted as used, zero if this host does not hold the token. */
  public int used(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard == null || !shard.isTokenHeld() ? 0 : shard.used(now());
  }

  /** Returns the borrow requests of peers that wait for a slot. */
  PendingBorrows pendingBorrows() {
    return pendingBorrows;
  }

  /** Returns the loans that this host holds as a borrower. */
  SlotLoans loans() {
    return loans;
  }

  BackendSlots shard(String backendId) {
    return shards.computeIfAbsent(backendId, BackendSlots::new);
  }

  /** Lends a slot to a peer if one is free. */
  Optional<SlotLoan> lend(String backendId, PendingBorrows.PendingBorrow pendingBorrow) {
    if (draining || !checkHostLease()) {
      return Optional.empty();
    }
    String loanId = nextLoanId();
    long reclaim = now() + settings.get().slotLeaseMillis() + maxInFlightMillis();
    BackendSlots.LentSlot loan =
        new BackendSlots.LentSlot(
            pendingBorrow.borrower(),
            pendingBorrow.incarnation(),
            pendingBorrow.message().getSequence(),
            reclaim);
    if (!shard(backendId).lend(loanId, loan, now(), limit())) {
      return Optional.empty();
    }
    return Optional.of(SlotLoan.newBuilder().setLoanId(loanId).setBackendId(backendId).build());
  }

  /**
   * Accepts a borrowed slot. Returns false and gives it back if its lease has already expired or a
   * promise to the next holder of the token forbids its use.
   *
   * @param callMillis monotonic time at which the slot was requested, from which its lease counts
   */
  boolean acceptLoan(String lender, SlotLoan loan, long sequence, long callMillis) {
    long lease = callMillis + settings.get().slotLeaseMillis();
    String loanId = loan.getLoanId();
    SlotLoans.Loan held =
        new SlotLoans.Loan(loan.getBackendId(), lender, sequence, lease + maxInFlightMillis());
    BackendSlots.BorrowedSlot slot = new BackendSlots.BorrowedSlot(loanId, lender, lease);
    boolean usable = lease > now();
    boolean taken =
        usable
            && shard(loan.getBackendId())
                .addBorrowed(slot, now(), membershipHash(), () -> loans.add(loanId, held));
    if (taken) {
      borrowedSinceReturn.set(true);
    } else {
      sendReturn(lender, loanId);
    }
    return taken;
  }

  /** Gives the borrowed slots that no request uses back to their lenders. */
  void returnIdle() {
    if (!borrowedSinceReturn.getAndSet(false)) {
      return;
    }
    for (BackendSlots shard : shards.values()) {
      for (BackendSlots.BorrowedSlot slot : shard.drainIdle()) {
        endBorrowed(slot.loanId());
      }
    }
  }

  /**
   * Announces the loans that this host holds to all peers, so that a lender can free a slot whose
   * return message was lost.
   */
  void announceHoldings() {
    SlotHoldings holdings =
        SlotHoldings.newBuilder()
            .setSettledThrough(loans.settledThrough())
            .addAllLoanIds(loans.ids())
            .build();
    ByteString message = newMessage().setHoldings(holdings).build().toByteString();
    peerIds().forEach(peer -> link.send(peer, PeerChannel.SLOT, message));
  }

  /** Rejects borrow requests of peers that have waited as long as allowed. */
  void expirePendingBorrows() {
    pendingBorrows.expire(now()).forEach(pendingBorrow -> pendingBorrow.answer(List.of()));
  }

  /**
   * Stops lending slots and accepting tokens, and rejects waiting borrow requests; this is final.
   */
  void drain() {
    draining = true;
    pendingBorrows.byUrgency().stream()
        .filter(pendingBorrows::remove)
        .forEach(pendingBorrow -> pendingBorrow.answer(List.of()));
  }

  /** Returns the backend servers whose token this host holds. */
  List<String> heldTokens() {
    return shards.entrySet().stream()
        .filter(entry -> entry.getValue().isTokenHeld())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Transfers a token to another host; slots in use here become loans from it. */
  Optional<SlotTransfer> transferToken(
      String backendId, String receiver, long peerIncarnation, long knownTerm) {
    return shard(backendId)
        .transferToken(
            receiver,
            peerIncarnation,
            knownTerm,
            now(),
            hold -> convertToLoan(hold, backendId, receiver));
  }

  /** Accepts a token that a peer transferred; false if this host may not take it. */
  boolean acceptTransfer(String from, SlotTransfer transfer) {
    boolean taken =
        !draining
            && checkHostLease()
            && shard(transfer.getBackendId())
                .acceptTransfer(from, transfer, now(), membershipHash());
    if (taken) {
      onSlotFreed.run();
    }
    return taken;
  }

  /** Takes over a token that no other process can still hold. */
  void takeOver(String backendId, List<SlotLoan> known, int unknown, long unknownUntilMillis) {
    shard(backendId).takeOver(known, unknown, unknownUntilMillis, now());
    onSlotFreed.run();
  }

  /**
   * Returns whether this host has a host lease and is an agreed host, so that it may use its slots.
   * If this host is not an agreed host, or was not seen to have a host lease for longer than the
   * clock margin, another host may take its tokens over; this host then gives them up.
   */
  boolean checkHostLease() {
    long now = now();
    long leaseSeenMillis = hostLeaseSeenMillis.get();
    boolean hostLeaseHeld = membership.hasHostLease();
    boolean agreed =
        membership.agreedHosts().stream()
            .anyMatch(host -> host.id().equals(membership.self().id()));
    if (now - leaseSeenMillis > timing.marginMillis() || !agreed) {
      heldTokens().forEach(backendId -> transferToken(backendId, "", 0, 0));
    }
    if (hostLeaseHeld) {
      hostLeaseSeenMillis.accumulateAndGet(now, Math::max);
    }
    return hostLeaseHeld && agreed;
  }

  /** Returns a hash of the other agreed hosts, to detect changes of the membership. */
  int membershipHash() {
    return new HashSet<>(peerIds()).hashCode();
  }

  /** Returns the loans that this host holds for a backend server, as messages. */
  List<SlotLoan> loansOf(String backendId) {
    return loans.all().entrySet().stream()
        .filter(entry -> entry.getValue().backendId().equals(backendId))
        .map(entry -> borrowedMessage(entry.getKey(), entry.getValue()))
        .toList();
  }

  SlotMessage.Builder newMessage() {
    return SlotMessage.newBuilder().setIncarnation(incarnation);
  }

  /** Returns the identifiers of the other agreed hosts. */
  List<String> peerIds() {
    String self = membership.self().id();
    return membership.agreedHosts().stream()
        .map(host -> host.id())
        .filter(id -> !id.equals(self))
        .toList();
  }

  boolean isDraining() {
    return draining;
  }

  int limit() {
    return settings.get().slotsPerBackend();
  }

  /**
   * Returns the maximum time that a request may run after its slot's lease expired, in
   * milliseconds.
   */
  long maxInFlightMillis() {
    return settings.get().defaultDeadlineMillis() + timing.marginMillis();
  }

  private void release(SlotHold hold) {
    if (!shard(hold.backendId()).releaseOwn(hold)) {
      endBorrowed(hold.loanId());
    }
    onSlotFreed.run();
  }

  private void endBorrowed(String loanId) {
    loans.remove(loanId).ifPresent(loan -> endLoan(loan.backendId(), loan.tokenHolder(), loanId));
  }

  private void endLoan(String backendId, String holder, String loanId) {
    BackendSlots shard = shard(backendId);
    if (!shard.endLoan(loanId)) {
      sendReturn(
          shard.lastTransfer().map(BackendSlots.TransferredToken::receiver).orElse(holder), loanId);
    }
  }

  private SlotLoan convertToLoan(SlotHold hold, String backendId, String receiver) {
    String loanId = nextLoanId();
    long sequence = loans.beginCall();
    loans.endCall(sequence);
    SlotLoans.Loan loan =
        new SlotLoans.Loan(backendId, receiver, sequence, now() + maxInFlightMillis());
    loans.add(loanId, loan);
    hold.convertToLoan(loanId);
    return borrowedMessage(loanId, loan);
  }

  private void sendReturn(String holder, String loanId) {
    if (!holder.isEmpty() && !holder.equals(membership.self().id())) {
      SlotReturn body = SlotReturn.newBuilder().addLoanIds(loanId).build();
      link.send(holder, PeerChannel.SLOT, newMessage().setReturned(body).build().toByteString());
    }
  }

  /** Handles a borrow request; the reply completes when a slot is lent or the request expires. */
  CompletableFuture<Optional<ByteString>> onBorrow(String from, SlotMessage message) {
    SlotBorrow body = message.getBorrow();
    CompletableFuture<Optional<ByteString>> reply = new CompletableFuture<>();
    PendingBorrows.PendingBorrow pendingBorrow =
        new PendingBorrows.PendingBorrow(
            from,
            message.getIncarnation(),
            body,
            now() - body.getWaitedMillis(),
            now() + body.getPatienceMillis(),
            reply);
    if (draining) {
      pendingBorrow.answer(List.of());
    } else {
      pendingBorrows.add(pendingBorrow);
      onSlotFreed.run();
    }
    return reply;
  }

  /**
   * Ends loans that a peer returned. Returns of loans whose token was transferred are forwarded to
   * its new holder.
   */
  void onReturned(SlotReturn message) {
    for (String loanId : message.getLoanIdsList()) {
      boolean ended = shards.values().stream().anyMatch(shard -> shard.endLoan(loanId));
      if (!ended) {
        forwardReturn(loanId);
      }
    }
    onSlotFreed.run();
  }

  /** Ends loans to a peer that are absent from the holdings it announced. */
  void reconcile(String from, long peerIncarnation, SlotHoldings holdings) {
    Set<String> held = new HashSet<>(holdings.getLoanIdsList());
    long settled = holdings.getSettledThrough();
    boolean freed = false;
    for (BackendSlots shard : shards.values()) {
      freed |= shard.reconcile(from, peerIncarnation, settled, held);
    }
    if (freed) {
      onSlotFreed.run();
    }
  }

  private void forwardReturn(String loanId) {
    for (BackendSlots shard : shards.values()) {
      shard
          .lastTransfer()
          .filter(
              sentToken ->
                  sentToken.transfer().getLoansList().stream()
                      .anyMatch(loan -> loan.getLoanId().equals(loanId)))
          .ifPresent(sentToken -> sendReturn(sentToken.receiver(), loanId));
    }
  }

  private SlotLoan borrowedMessage(String loanId, SlotLoans.Loan loan) {
    return SlotLoan.newBuilder()
        .setLoanId(loanId)
        .setBackendId(loan.backendId())
        .setBorrower(membership.self().id())
        .setIncarnation(incarnation)
        .setSequence(loan.sequence())
        .setRemainingMillis(Math.max(0, loan.latestEndMillis() - now()))
        .build();
  }

  private String nextLoanId() {
    return membership.self().id() + "/" + incarnation + "/" + loanCount.incrementAndGet();
  }

  private long now() {
    return timer.monotonicMillis();
  }
}
