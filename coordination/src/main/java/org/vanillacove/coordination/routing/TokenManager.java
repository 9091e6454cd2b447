package org.vanillacove.coordination.routing;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.protocol.generated.SlotAcquire;
import org.vanillacove.protocol.generated.SlotAcquireReply;
import org.vanillacove.protocol.generated.SlotLoan;
import org.vanillacove.protocol.generated.SlotMessage;
import org.vanillacove.protocol.generated.SlotTransfer;
import org.vanillacove.protocol.generated.SlotTransferReply;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.HostSpec;

/**
 * Moves the tokens of backend servers between hosts: a token is passed on exactly, or taken over
 * once every agreed host said that it does not hold it and all others must have lost their
 * standing.
 */
final class TokenManager {
  /** Longest wait for a peer's answer. */
  private static final Duration CALL_DEADLINE = Duration.ofMillis(500);

  /** Pause before a token that was not confirmed is sent again. */
  private static final Duration RESEND_DELAY = Duration.ofMillis(100);

  /** Number of times that a leaving host sends a token. */
  private static final int MAX_TRANSFER_ATTEMPTS = 10;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** This host and its peers. */
  private final Membership membership;

  /** Messages to peers. */
  private final PeerLink link;

  /** Source of time. */
  private final TimerService timer;

  /** Times that safety rests on. */
  private final SlotTiming timing;

  /** Slots. */
  private final SlotLedger ledger;

  /** Backend servers. */
  private final BackendDirectory directory;

  /** Says which host should hold which token. */
  private final BackendOwners owners;

  /** Asks backend servers how many requests they run. */
  private final BackendOccupancy occupancy;

  /** Open claims by backend server; guarded by this. */
  private final Map<String, Claim> claims = new HashMap<>();

  /** Peers with a call in flight. */
  private final Set<String> peersInCall = ConcurrentHashMap.newKeySet();

  /** Agreed hosts at the last look; guarded by this. */
  private Set<String> lastPeers = Set.of();

  TokenManager(
      Membership membership,
      PeerLink link,
      TimerService timer,
      SlotTiming timing,
      SlotLedger ledger,
      BackendDirectory directory,
      BackendOccupancy occupancy) {
    this.membership = membership;
    this.link = link;
    this.timer = timer;
    this.timing = timing;
    this.ledger = ledger;
    this.directory = directory;
    this.owners = new BackendOwners(directory);
    this.occupancy = occupancy;
    link.register(PeerChannel.SLOT, this::handle);
  }

  /** A claim to a token whose holder is not known. */
  private static final class Claim {
    /** Monotonic times of the newest "not held" of each peer, in milliseconds. */
    private final Map<String, Long> notHeldMillis = new HashMap<>();

    /** Loans of each peer at its newest answer. */
    private final Map<String, List<SlotLoan>> loans = new HashMap<>();

    /** Monotonic time since which no host left the membership, in milliseconds. */
    private long stableSinceMillis;

    /** Whether the backend server is being asked. */
    private boolean probing;
  }

  /** Claims the tokens that this host should hold; called often. */
  void tick() {
    if (ledger.isDraining() || !ledger.checkHostLease()) {
      return;
    }
    List<String> wanted = refreshClaims();
    if (wanted.isEmpty()) {
      return;
    }
    for (String peer : ledger.peerIds()) {
      if (peersInCall.add(peer)) {
        requestTokens(peer, wanted);
      }
    }
    probeReadyClaims();
  }

  /**
   * Gives every token away, each to the host that comes next for it; false if one was not taken.
   */
  CompletableFuture<Boolean> transferAll() {
    ledger.drain();
    List<HostSpec> left =
        membership.agreedHosts().stream()
            .filter(host -> !host.id().equals(self()) && membership.isReachable(host.id()))
            .toList();
    List<CompletableFuture<Boolean>> sent = new ArrayList<>();
    for (String backendId : ledger.heldTokens()) {
      Optional<String> next = owners.owner(backendId, left).or(() -> firstOf(left));
      Optional<SlotTransfer> transfer =
          next.flatMap(receiver -> ledger.transferToken(backendId, receiver, 0, 0));
      transfer.ifPresent(message -> sent.add(send(next.get(), message, MAX_TRANSFER_ATTEMPTS)));
    }
    return CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new))
        .thenApply(done -> sent.stream().allMatch(CompletableFuture::join));
  }

  private CompletableFuture<Boolean> send(String receiver, SlotTransfer transfer, int tries) {
    ByteString message = ledger.newMessage().setTransfer(transfer).build().toByteString();
    return link.call(receiver, PeerChannel.SLOT, message, CALL_DEADLINE)
        .thenCompose(
            reply -> {
              boolean taken = reply.flatMap(TokenManager::transferReply).orElse(false);
              if (taken || tries <= 1) {
                return CompletableFuture.completedFuture(taken);
              }
              CompletableFuture<Boolean> later = new CompletableFuture<>();
              timer.after(
                  RESEND_DELAY,
                  () -> send(receiver, transfer, tries - 1).thenAccept(later::complete));
              return later;
            });
  }

  private synchronized List<String> refreshClaims() {
    Set<String> hosts = new HashSet<>(ledger.peerIds());
    boolean shrunk = !hosts.containsAll(lastPeers);
    if (!hosts.equals(lastPeers)) {
      claims.values().forEach(claim -> claim.notHeldMillis.clear());
    }
    lastPeers = hosts;
    long now = timer.monotonicMillis();
    List<String> wanted = new ArrayList<>();
    for (ListedHost backend : directory.listed()) {
      if (isAssignedToSelf(backend.id()) && !ledger.holdsToken(backend.id())) {
        Claim claim = claims.computeIfAbsent(backend.id(), id -> newClaim(now));
        claim.stableSinceMillis = shrunk ? now : claim.stableSinceMillis;
        wanted.add(backend.id());
      }
    }
    claims.keySet().retainAll(wanted);
    return wanted;
  }

  private static Claim newClaim(long now) {
    Claim claim = new Claim();
    claim.stableSinceMillis = now;
    return claim;
  }

  private void requestTokens(String peer, List<String> wanted) {
    SlotAcquire.Builder body = SlotAcquire.newBuilder();
    for (String backendId : wanted) {
      body.addBackendIds(backendId).addTerms(ledger.shard(backendId).term());
    }
    ByteString message = ledger.newMessage().setAcquire(body).build().toByteString();
    link.call(peer, PeerChannel.SLOT, message, CALL_DEADLINE)
        .whenComplete(
            (reply, error) -> {
              peersInCall.remove(peer);
              if (reply != null) {
                reply
                    .flatMap(TokenManager::acquireReply)
                    .ifPresent(answer -> onAcquireReply(peer, answer));
              }
            });
  }

  private void onAcquireReply(String peer, SlotAcquireReply answer) {
    answer.getTransfersList().forEach(transfer -> ledger.acceptTransfer(peer, transfer));
    synchronized (this) {
      for (String backendId : answer.getNotHeldList()) {
        Claim claim = claims.get(backendId);
        if (claim != null) {
          claim.notHeldMillis.put(peer, timer.monotonicMillis());
          claim.loans.put(
              peer,
              answer.getBorrowedList().stream()
                  .filter(loan -> loan.getBackendId().equals(backendId))
                  .toList());
        }
      }
    }
    probeReadyClaims();
  }

  private void probeReadyClaims() {
    List<String> ready = new ArrayList<>();
    synchronized (this) {
      claims.forEach(
          (backendId, claim) -> {
            if (!claim.probing && isSafeToTakeOver(claim)) {
              claim.probing = true;
              ready.add(backendId);
            }
          });
    }
    for (String backendId : ready) {
      Optional<ListedHost> backend = directory.find(backendId);
      CompletableFuture<OptionalInt> probe =
          backend
              .map(occupancy::running)
              .orElseGet(() -> CompletableFuture.completedFuture(OptionalInt.empty()));
      probe.whenComplete(
          (running, error) ->
              completeClaim(
                  backendId, error == null && running != null ? running : OptionalInt.empty()));
    }
  }

  private void completeClaim(String backendId, OptionalInt running) {
    List<SlotLoan> known = new ArrayList<>();
    long unknownUntil;
    synchronized (this) {
      Claim claim = claims.get(backendId);
      if (claim == null) {
        return;
      }
      claim.probing = false;
      if (!isSafeToTakeOver(claim)
          || ledger.holdsToken(backendId)
          || isPromisedToOther(backendId)) {
        return;
      }
      claims.remove(backendId);
      claim.loans.values().forEach(known::addAll);
      unknownUntil =
          claim.stableSinceMillis + timing.leaseExpiryMillis() + ledger.maxInFlightMillis();
    }
    known.addAll(ledger.loansOf(backendId));
    int unaccounted = Math.max(0, ledger.limit() - known.size());
    int unknown = Math.min(unaccounted, running.orElse(unaccounted));
    LOGGER.atInfo().log("routing: takes over the slots of %s, %d unknown.", backendId, unknown);
    ledger.takeOver(backendId, known, unknown, unknownUntil);
  }

  /** Returns whether no other process can hold the token or start a request on it. */
  private boolean isSafeToTakeOver(Claim claim) {
    long now = timer.monotonicMillis();
    if (now < claim.stableSinceMillis + timing.leaseExpiryMillis()) {
      return false;
    }
    long oldest = now - timing.leaseExpiryMillis();
    return ledger.checkHostLease()
        && ledger.peerIds().stream()
            .allMatch(peer -> claim.notHeldMillis.getOrDefault(peer, Long.MIN_VALUE) >= oldest);
  }

  private CompletableFuture<Optional<ByteString>> handle(String from, ByteString payload) {
    try {
      return handle(from, SlotMessage.parseFrom(payload));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("routing: bad slot message from %s.", from);
      return CompletableFuture.completedFuture(Optional.empty());
    }
  }

  private CompletableFuture<Optional<ByteString>> handle(String from, SlotMessage message) {
    Optional<ByteString> reply = Optional.empty();
    switch (message.getBodyCase()) {
      case BORROW -> {
        return ledger.onBorrow(from, message);
      }
      case ACQUIRE -> reply = Optional.of(acquire(from, message).toByteString());
      case TRANSFER -> reply = Optional.of(transfer(from, message.getTransfer()).toByteString());
      case RETURNED -> ledger.onReturned(message.getReturned());
      case HOLDINGS -> ledger.reconcile(from, message.getIncarnation(), message.getHoldings());
      case CANCEL ->
          ledger
              .pendingBorrows()
              .cancel(from, message.getIncarnation(), message.getCancel().getSequence())
              .ifPresent(want -> want.answer(List.of()));
      default -> LOGGER.atWarning().log("routing: empty slot message from %s.", from);
    }
    return CompletableFuture.completedFuture(reply);
  }

  private SlotTransferReply transfer(String from, SlotTransfer transfer) {
    boolean agreedSender = ledger.peerIds().contains(from);
    boolean taken = agreedSender && ledger.acceptTransfer(from, transfer);
    return SlotTransferReply.newBuilder().setTaken(taken).build();
  }

  /** Returns whether this host let another one go first. */
  private boolean isPromisedToOther(String backendId) {
    return ledger
        .shard(backendId)
        .isPromisedAwayFrom(self(), timer.monotonicMillis(), ledger.membershipHash());
  }

  private SlotAcquireReply acquire(String from, SlotMessage message) {
    SlotAcquireReply.Builder reply = SlotAcquireReply.newBuilder();
    if (!ledger.checkHostLease() || !ledger.peerIds().contains(from)) {
      return reply.build();
    }
    long process = message.getIncarnation();
    SlotAcquire body = message.getAcquire();
    for (int i = 0; i < body.getBackendIdsCount(); i++) {
      String backendId = body.getBackendIds(i);
      long known = i < body.getTermsCount() ? body.getTerms(i) : 0;
      BackendSlots shard = ledger.shard(backendId);
      Optional<BackendSlots.TransferredToken> passed = shard.lastTransfer();
      if (shard.isTokenHeld()) {
        if (isAssignedTo(backendId, from)) {
          ledger.transferToken(backendId, from, process, known).ifPresent(reply::addTransfers);
        }
      } else if (passed.filter(each -> mayBeUndelivered(each, from, process, known)).isPresent()) {
        reply.addTransfers(passed.get().transfer());
      } else if (passed.filter(each -> wasSentToOther(each, from, process)).isEmpty()) {
        long until = timer.monotonicMillis() + 2 * timing.leaseExpiryMillis();
        shard.promise(from, until, ledger.membershipHash());
        reply.addNotHeld(backendId).addAllBorrowed(ledger.loansOf(backendId));
      }
    }
    return reply.build();
  }

  private boolean isAssignedTo(String backendId, String host) {
    if (directory.find(backendId).isEmpty()) {
      return true;
    }
    return owners.owner(backendId, membership.agreedHosts()).equals(Optional.of(host));
  }

  /** Returns whether a process that asks for a token may not have got it yet. */
  private static boolean mayBeUndelivered(
      BackendSlots.TransferredToken passed, String host, long process, long known) {
    return isReceiver(passed, host, process) && passed.transfer().getTerm() > known;
  }

  /** Returns whether a token went to an agreed host, unless that process itself asks for it. */
  private boolean wasSentToOther(BackendSlots.TransferredToken passed, String host, long process) {
    return !isReceiver(passed, host, process) && ledger.peerIds().contains(passed.receiver());
  }

  private static boolean isReceiver(
      BackendSlots.TransferredToken passed, String host, long process) {
    return passed.receiver().equals(host) && passed.incarnation() == process;
  }

  private boolean isAssignedToSelf(String backendId) {
    return owners.owner(backendId, membership.agreedHosts()).equals(Optional.of(self()));
  }

  private static Optional<String> firstOf(List<HostSpec> hosts) {
    return hosts.stream().findFirst().map(HostSpec::id);
  }

  private String self() {
    return membership.self().id();
  }

  private static Optional<SlotAcquireReply> acquireReply(ByteString payload) {
    try {
      return Optional.of(SlotAcquireReply.parseFrom(payload));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("routing: bad answer to a claim.");
      return Optional.empty();
    }
  }

  private static Optional<Boolean> transferReply(ByteString payload) {
    try {
      return Optional.of(SlotTransferReply.parseFrom(payload).getTaken());
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("routing: bad answer to a transfer.");
      return Optional.empty();
    }
  }
}
