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
  private final SlotWants wants = new SlotWants();

  /** Number of loan identifiers given out. */
  private final AtomicLong loanCount = new AtomicLong();

  /** Monotonic time at which this host was last seen in standing, in milliseconds. */
  private final AtomicLong standingSeenMillis = new AtomicLong();

  /** Whether a slot was borrowed since unused ones were last given back. */
  private final AtomicBoolean borrowed = new AtomicBoolean();

  /** What to run when a slot may have become free. */
  private volatile Runnable onFree = () -> {};

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
    standingSeenMillis.set(timer.monotonicMillis());
  }

  /** Sets what to run when a slot may have become free or a peer asks for one. */
  void onFree(Runnable listener) {
    onFree = listener;
  }

  /** Says that a slot may have become free. */
  void signal() {
    onFree.run();
  }

  /** Returns how many slots a request of this host could take while the host is in standing. */
  public int available(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard == null ? 0 : shard.available(now(), limit());
  }

  /** Takes a slot for a request of this host. */
  public Optional<SlotHold> take(String backendId) {
    if (!isInStanding()) {
      return Optional.empty();
    }
    return shard(backendId).take(now(), limit(), this::release);
  }

  /** Returns whether this host holds the token of a backend server. */
  public boolean holdsToken(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard != null && shard.isHeld();
  }

  /** Returns how many slots of the token are counted as used, zero without the token. */
  public int used(String backendId) {
    BackendSlots shard = shards.get(backendId);
    return shard == null || !shard.isHeld() ? 0 : shard.used(now());
  }

  /** Returns the calls of peers that wait for a slot. */
  SlotWants wants() {
    return wants;
  }

  /** Returns the loans held as a borrower. */
  SlotLoans loans() {
    return loans;
  }

  BackendSlots shard(String backendId) {
    return shards.computeIfAbsent(backendId, BackendSlots::new);
  }

  /** Lends a slot to a peer if one is free. */
  Optional<SlotLoan> lend(String backendId, SlotWants.Want want) {
    if (draining || !isInStanding()) {
      return Optional.empty();
    }
    String loanId = nextLoanId();
    long reclaim = now() + settings.get().slotLeaseMillis() + inFlightMillis();
    BackendSlots.Lent loan =
        new BackendSlots.Lent(
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
        new SlotLoans.Loan(loan.getBackendId(), lender, sequence, lease + inFlightMillis());
    BackendSlots.Borrowed slot = new BackendSlots.Borrowed(loanId, lender, lease);
    boolean usable = lease > now();
    boolean taken =
        usable
            && shard(loan.getBackendId())
                .addBorrowed(slot, now(), view(), () -> loans.add(loanId, held));
    if (taken) {
      borrowed.set(true);
    } else {
      sendReturn(lender, loanId);
    }
    return taken;
  }

  /** Gives back the borrowed slots that no request uses. */
  void returnIdle() {
    if (!borrowed.getAndSet(false)) {
      return;
    }
    for (BackendSlots shard : shards.values()) {
      for (BackendSlots.Borrowed slot : shard.drainIdle()) {
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
    ByteString message = message().setHoldings(holdings).build().toByteString();
    peerIds().forEach(peer -> link.send(peer, PeerChannel.SLOT, message));
  }

  /** Answers the calls of peers whose patience ended. */
  void expireWants() {
    wants.expire(now()).forEach(want -> want.answer(List.of()));
  }

  /** Stops lending and borrowing for good. */
  void drain() {
    draining = true;
    wants.byUrgency().stream().filter(wants::remove).forEach(want -> want.answer(List.of()));
  }

  /** Returns the backend servers whose token this host holds. */
  List<String> heldTokens() {
    return shards.entrySet().stream()
        .filter(entry -> entry.getValue().isHeld())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Gives a token away; slots in use here go on as loans. */
  Optional<SlotTransfer> passOn(String backendId, String receiver, long process, long knownTerm) {
    return shard(backendId)
        .passOn(receiver, process, knownTerm, now(), hold -> convert(hold, backendId, receiver));
  }

  /** Takes a token that a peer passed on. */
  boolean receive(String from, SlotTransfer transfer) {
    boolean taken =
        !draining
            && isInStanding()
            && shard(transfer.getBackendId()).receive(from, transfer, now(), view());
    if (taken) {
      onFree.run();
    }
    return taken;
  }

  /** Takes a token because no other process can hold it any more. */
  void takeOver(String backendId, List<SlotLoan> known, int unknown, long unknownUntilMillis) {
    shard(backendId).takeOver(known, unknown, unknownUntilMillis, now());
    onFree.run();
  }

  /**
   * Returns whether this host may use its slots. After a time without standing that is long enough
   * for another host to take the tokens over, this host forgets that it holds them.
   */
  boolean isInStanding() {
    long now = now();
    long seen = standingSeenMillis.get();
    boolean standing = membership.hasStanding();
    boolean agreed =
        membership.agreedHosts().stream()
            .anyMatch(host -> host.id().equals(membership.self().id()));
    if (now - seen > timing.marginMillis() || !agreed) {
      heldTokens().forEach(backendId -> passOn(backendId, "", 0, 0));
    }
    if (standing) {
      standingSeenMillis.accumulateAndGet(now, Math::max);
    }
    return standing && agreed;
  }

  /** Returns a number that differs when the agreed hosts differ. */
  int view() {
    return new HashSet<>(peerIds()).hashCode();
  }

  /** Returns the loans of a backend server that this host holds, as messages. */
  List<SlotLoan> borrowed(String backendId) {
    return loans.all().entrySet().stream()
        .filter(entry -> entry.getValue().backendId().equals(backendId))
        .map(entry -> borrowedMessage(entry.getKey(), entry.getValue()))
        .toList();
  }

  SlotMessage.Builder message() {
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
  long inFlightMillis() {
    return settings.get().defaultDeadlineMillis() + timing.marginMillis();
  }

  private void release(SlotHold hold) {
    if (!shard(hold.backendId()).releaseOwn(hold)) {
      endBorrowed(hold.loanId());
    }
    onFree.run();
  }

  private void endBorrowed(String loanId) {
    loans.remove(loanId).ifPresent(loan -> endLoan(loan.backendId(), loan.holder(), loanId));
  }

  private void endLoan(String backendId, String holder, String loanId) {
    BackendSlots shard = shard(backendId);
    if (!shard.endLoan(loanId)) {
      sendReturn(shard.passedOn().map(BackendSlots.PassedOn::receiver).orElse(holder), loanId);
    }
  }

  private SlotLoan convert(SlotHold hold, String backendId, String receiver) {
    String loanId = nextLoanId();
    long sequence = loans.begin();
    loans.settle(sequence);
    SlotLoans.Loan loan =
        new SlotLoans.Loan(backendId, receiver, sequence, now() + inFlightMillis());
    loans.add(loanId, loan);
    hold.convert(loanId);
    return borrowedMessage(loanId, loan);
  }

  private void sendReturn(String holder, String loanId) {
    if (!holder.isEmpty() && !holder.equals(membership.self().id())) {
      SlotReturn body = SlotReturn.newBuilder().addLoanIds(loanId).build();
      link.send(holder, PeerChannel.SLOT, message().setReturned(body).build().toByteString());
    }
  }

  /** Registers a call of a peer that asks for slots. */
  CompletableFuture<Optional<ByteString>> borrow(String from, SlotMessage message) {
    SlotBorrow body = message.getBorrow();
    CompletableFuture<Optional<ByteString>> reply = new CompletableFuture<>();
    SlotWants.Want want =
        new SlotWants.Want(
            from,
            message.getIncarnation(),
            body,
            now() - body.getWaitedMillis(),
            now() + body.getPatienceMillis(),
            reply);
    if (draining) {
      want.answer(List.of());
    } else {
      wants.add(want);
      onFree.run();
    }
    return reply;
  }

  /** Ends loans that a peer gave back, or passes the message on to the holder of the token. */
  void returned(SlotReturn message) {
    for (String loanId : message.getLoanIdsList()) {
      boolean ended = shards.values().stream().anyMatch(shard -> shard.endLoan(loanId));
      if (!ended) {
        forwardReturn(loanId);
      }
    }
    onFree.run();
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
      onFree.run();
    }
  }

  private void forwardReturn(String loanId) {
    for (BackendSlots shard : shards.values()) {
      shard
          .passedOn()
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
        .setRemainingMillis(Math.max(0, loan.endMillis() - now()))
        .build();
  }

  private String nextLoanId() {
    return membership.self().id() + "/" + incarnation + "/" + loanCount.incrementAndGet();
  }

  private long now() {
    return timer.monotonicMillis();
  }
}
