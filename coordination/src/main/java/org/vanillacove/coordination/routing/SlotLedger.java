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
 * Slots of all backend servers as this host knows them. For each backend server at most one host
 * holds the token; it alone gives out slots, to its own requests and as loans to peers, so that the
 * sum over all hosts stays within the limit.
 */
public final class SlotLedger {
  /** This host and its peers. */
  private final Membership membership;

  /** Messages to peers. */
  private final PeerLink link;

  /** Source of time. */
  private final TimerService timer;

  /** Policy values in force. */
  private final Supplier<RoutingSettings> settings;

  /** Times that safety rests on. */
  private final SlotTiming timing;

  /** This process among all processes of this host. */
  private final long incarnation;

  /** Shards by backend server. */
  private final Map<String, BackendSlots> shards = new ConcurrentHashMap<>();

  /** Loans held as a borrower. */
  private final SlotLoans loans = new SlotLoans();

  /** Calls of peers that wait for a slot. */
  private final PendingBorrows pendingBorrows = new PendingBorrows();

  /** Number of loan identifiers given out. */
  private final AtomicLong loanCount = new AtomicLong();

  /** Monotonic time at which this host was last seen in standing, in milliseconds. */
  private final AtomicLong hostLeaseSeenMillis = new AtomicLong();

  /** Whether a slot was borrowed since unused ones were last given back. */
  private final AtomicBoolean loansOf = new AtomicBoolean();

  /** What to run when a slot may have become free. */
  private volatile Runnable onSlotFreed = () -> {};

  /** Whether this host is leaving and gives its tokens away. */
  private volatile boolean draining;

  /** Creates a ledger that holds no token. */
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

  /** Sets what to run when a slot may have become free or a peer asks for one. */
  void onSlotFreed(Runnable listener) {
    onSlotFreed = listener;
  }

  /** Says that a slot may have become free. */
  void notifySlotFreed() {
    onSlotFreed.run();
  }

  /** Returns how many slots a request of this host could take while the host is in standing. */
  public int available(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard == null ? 0 : shard.available(now(), limit());
  }

  /** Takes a slot for a request of this host. */
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

  /** Returns how many slots of the token are counted as used, zero without the token. */
  public int used(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard == null || !shard.isTokenHeld() ? 0 : shard.used(now());
  }

  /** Returns the calls of peers that wait for a slot. */
  PendingBorrows pendingBorrows() {
    return pendingBorrows;
  }

  /** Returns the loans held as a borrower. */
  SlotLoans loans() {
    return loans;
  }

  BackendSlots shard(String backendId) {
    return shards.computeIfAbsent(backendId, BackendSlots::new);
  }

  /** Lends a slot to a peer if one is free. */
  Optional<SlotLoan> lend(String backendId, PendingBorrows.PendingBorrow want) {
    if (draining || !checkHostLease()) {
      return Optional.empty();
    }
    String loanId = nextLoanId();
    long reclaim = now() + settings.get().slotLeaseMillis() + maxInFlightMillis();
    BackendSlots.LentSlot loan =
        new BackendSlots.LentSlot(
            want.borrower(), want.incarnation(), want.message().getSequence(), reclaim);
    if (!shard(backendId).lend(loanId, loan, now(), limit())) {
      return Optional.empty();
    }
    return Optional.of(SlotLoan.newBuilder().setLoanId(loanId).setBackendId(backendId).build());
  }

  /**
   * Takes a borrowed slot; false if a promise to the next holder of the token forbids it.
   *
   * @param callMillis monotonic time at which the slot was asked for
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
      loansOf.set(true);
    } else {
      sendReturn(lender, loanId);
    }
    return taken;
  }

  /** Gives back the borrowed slots that no request uses. */
  void returnIdle() {
    if (!loansOf.getAndSet(false)) {
      return;
    }
    for (BackendSlots shard : shards.values()) {
      for (BackendSlots.BorrowedSlot slot : shard.drainIdle()) {
        endBorrowed(slot.loanId());
      }
    }
  }

  /** Tells all peers which loans this host holds, so that lost messages do no lasting harm. */
  void announceHoldings() {
    SlotHoldings holdings =
        SlotHoldings.newBuilder()
            .setSettledThrough(loans.settledThrough())
            .addAllLoanIds(loans.ids())
            .build();
    ByteString message = newMessage().setHoldings(holdings).build().toByteString();
    peerIds().forEach(peer -> link.send(peer, PeerChannel.SLOT, message));
  }

  /** Answers the calls of peers whose patience ended. */
  void expirePendingBorrows() {
    pendingBorrows.expire(now()).forEach(want -> want.answer(List.of()));
  }

  /** Stops lending and borrowing for good. */
  void drain() {
    draining = true;
    pendingBorrows.byUrgency().stream()
        .filter(pendingBorrows::remove)
        .forEach(want -> want.answer(List.of()));
  }

  /** Returns the backend servers whose token this host holds. */
  List<String> heldTokens() {
    return shards.entrySet().stream()
        .filter(entry -> entry.getValue().isTokenHeld())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Gives a token away; slots in use here go on as loans. */
  Optional<SlotTransfer> transferToken(
      String backendId, String receiver, long process, long knownTerm) {
    return shard(backendId)
        .transferToken(
            receiver, process, knownTerm, now(), hold -> convertToLoan(hold, backendId, receiver));
  }

  /** Takes a token that a peer passed on. */
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

  /** Takes a token because no other process can hold it any more. */
  void takeOver(String backendId, List<SlotLoan> known, int unknown, long unknownUntilMillis) {
    shard(backendId).takeOver(known, unknown, unknownUntilMillis, now());
    onSlotFreed.run();
  }

  /**
   * Returns whether this host may use its slots. After a time without standing that is long enough
   * for another host to take the tokens over, this host forgets that it holds them.
   */
  boolean checkHostLease() {
    long now = now();
    long seen = hostLeaseSeenMillis.get();
    boolean standing = membership.hasStanding();
    boolean agreed =
        membership.agreedHosts().stream()
            .anyMatch(host -> host.id().equals(membership.self().id()));
    if (now - seen > timing.marginMillis() || !agreed) {
      heldTokens().forEach(backendId -> transferToken(backendId, "", 0, 0));
    }
    if (standing) {
      hostLeaseSeenMillis.accumulateAndGet(now, Math::max);
    }
    return standing && agreed;
  }

  /** Returns a number that differs when the agreed hosts differ. */
  int membershipHash() {
    return new HashSet<>(peerIds()).hashCode();
  }

  /** Returns the loans of a backend server that this host holds, as messages. */
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

  /** Returns how long a request may be in flight after its slot's lease, in milliseconds. */
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

  /** Registers a call of a peer that asks for slots. */
  CompletableFuture<Optional<ByteString>> onBorrow(String from, SlotMessage message) {
    SlotBorrow body = message.getBorrow();
    CompletableFuture<Optional<ByteString>> reply = new CompletableFuture<>();
    PendingBorrows.PendingBorrow want =
        new PendingBorrows.PendingBorrow(
            from,
            message.getIncarnation(),
            body,
            now() - body.getWaitedMillis(),
            now() + body.getPatienceMillis(),
            reply);
    if (draining) {
      want.answer(List.of());
    } else {
      pendingBorrows.add(want);
      onSlotFreed.run();
    }
    return reply;
  }

  /** Ends loans that a peer gave back, or passes the message on to the holder of the token. */
  void onReturned(SlotReturn message) {
    for (String loanId : message.getLoanIdsList()) {
      boolean ended = shards.values().stream().anyMatch(shard -> shard.endLoan(loanId));
      if (!ended) {
        forwardReturn(loanId);
      }
    }
    onSlotFreed.run();
  }

  /** Ends the loans that a peer does not hold any more. */
  void reconcile(String from, long process, SlotHoldings holdings) {
    Set<String> held = new HashSet<>(holdings.getLoanIdsList());
    long settled = holdings.getSettledThrough();
    boolean freed = false;
    for (BackendSlots shard : shards.values()) {
      freed |= shard.reconcile(from, process, settled, held);
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
              passed ->
                  passed.transfer().getLoansList().stream()
                      .anyMatch(loan -> loan.getLoanId().equals(loanId)))
          .ifPresent(passed -> sendReturn(passed.receiver(), loanId));
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
