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
 * Moves the tokens of backend servers between hosts. The holder transfers a token together with its
 * loans. Without a known holder, a host takes the token over once every agreed host has reported
 * that it does not hold it and the host leases of all other hosts must have expired.
 */
final class TokenManager {
  /** Maximum wait for the reply of a peer. */
  private static final Duration CALL_DEADLINE = Duration.ofMillis(500);

  /** Delay before an unconfirmed token transfer is sent again. */
  private static final Duration RESEND_DELAY = Duration.ofMillis(100);

  /** Maximum number of times that a leaving host sends a token transfer. */
  private static final int MAX_TRANSFER_ATTEMPTS = 10;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Membership as seen by this host. */
  private final Membership membership;

  /** Sends messages to peers and receives those on the slot channel. */
  private final PeerLink link;

  /** Clock and scheduler; claims use its monotonic time. */
  private final TimerService timer;

  /** Bounds on host leases and clocks that a takeover waits for. */
  private final SlotTiming timing;

  /** Slots and tokens that this host holds. */
  private final SlotLedger ledger;

  /** Backend servers whose tokens are claimed. */
  private final BackendDirectory directory;

  /** Assigns the token of each backend server to a host. */
  private final BackendOwners owners;

  /** Queries backend servers for the number of requests they run, before a takeover. */
  private final BackendOccupancy occupancy;

  /** Open claims by identifier of the backend server; guarded by this. */
  private final Map<String, Claim> claims = new HashMap<>();

  /** Identifiers of the peers that have not yet replied to the newest claim. */
  private final Set<String> peersInCall = ConcurrentHashMap.newKeySet();

  /** Other agreed hosts when the claims were last refreshed; guarded by this. */
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

  /** A claim to a token that this host should hold and does not. */
  private static final class Claim {
    /**
     * Monotonic time in milliseconds at which each peer last reported that it does not hold the
     * token.
     */
    private final Map<String, Long> notHeldMillis = new HashMap<>();

    /** Loans that each peer held when it last made that report. */
    private final Map<String, List<SlotLoan>> loans = new HashMap<>();

    /** Monotonic time since which no host has left the membership, in milliseconds. */
    private long stableSinceMillis;

    /** Whether a query for the backend server's running requests is in flight. */
    private boolean probing;
  }

  /** Claims the tokens that this host should hold and does not; called periodically. */
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
   * Transfers every token to the reachable host that it is then assigned to, as this host is about
   * to leave. Completes with false if a transfer was not accepted.
   */
  CompletableFuture<Boolean> transferAll() {
    ledger.drain();
    List<HostSpec> remainingHosts =
        membership.agreedHosts().stream()
            .filter(host -> !host.id().equals(self()) && membership.isReachable(host.id()))
            .toList();
    List<CompletableFuture<Boolean>> sent = new ArrayList<>();
    for (String backendId : ledger.heldTokens()) {
      Optional<String> next =
          owners.owner(backendId, remainingHosts).or(() -> firstOf(remainingHosts));
      Optional<SlotTransfer> transfer =
          next.flatMap(receiver -> ledger.transferToken(backendId, receiver, 0, 0));
      transfer.ifPresent(message -> sent.add(send(next.get(), message, MAX_TRANSFER_ATTEMPTS)));
    }
    return CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new))
        .thenApply(done -> sent.stream().allMatch(CompletableFuture::join));
  }

  private CompletableFuture<Boolean> send(
      String receiver, SlotTransfer transfer, int attemptsLeft) {
    ByteString message = ledger.newMessage().setTransfer(transfer).build().toByteString();
    return link.call(receiver, PeerChannel.SLOT, message, CALL_DEADLINE)
        .thenCompose(
            reply -> {
              boolean accepted = reply.flatMap(TokenManager::transferReply).orElse(false);
              if (accepted || attemptsLeft <= 1) {
                return CompletableFuture.completedFuture(accepted);
              }
              CompletableFuture<Boolean> later = new CompletableFuture<>();
              timer.after(
                  RESEND_DELAY,
                  () -> send(receiver, transfer, attemptsLeft - 1).thenAccept(later::complete));
              return later;
            });
  }

  private synchronized List<String> refreshClaims() {
    Set<String> hosts = new HashSet<>(ledger.peerIds());
    boolean hostLeft = !hosts.containsAll(lastPeers);
    if (!hosts.equals(lastPeers)) {
      claims.values().forEach(claim -> claim.notHeldMillis.clear());
    }
    lastPeers = hosts;
    long now = timer.monotonicMillis();
    List<String> wanted = new ArrayList<>();
    for (ListedHost backend : directory.listed()) {
      if (isAssignedToSelf(backend.id()) && !ledger.holdsToken(backend.id())) {
        Claim claim = claims.computeIfAbsent(backend.id(), id -> newClaim(now));
        claim.stableSinceMillis = hostLeft ? now : claim.stableSinceMillis;
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
    List<String> safeToTakeOver = new ArrayList<>();
    synchronized (this) {
      claims.forEach(
          (backendId, claim) -> {
            if (!claim.probing && isSafeToTakeOver(claim)) {
              claim.probing = true;
              safeToTakeOver.add(backendId);
            }
          });
    }
    for (String backendId : safeToTakeOver) {
      Optional<ListedHost> backend = directory.find(backendId);
      CompletableFuture<OptionalInt> probe =
          backend
              .map(occupancy::runningRequests)
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
    LOGGER.atInfo().log(
        "routing: took over the slots of %s, %d of unknown use.", backendId, unknown);
    ledger.takeOver(backendId, known, unknown, unknownUntil);
  }

  /**
   * Returns whether no other process can hold the token or start a request on it. This is certain
   * once no host has left for the maximum lease time and every peer denied holding the token within
   * that time.
   */
  private boolean isSafeToTakeOver(Claim claim) {
    long now = timer.monotonicMillis();
    if (now < claim.stableSinceMillis + timing.leaseExpiryMillis()) {
      return false;
    }
    long oldestValidMillis = now - timing.leaseExpiryMillis();
    return ledger.checkHostLease()
        && ledger.peerIds().stream()
            .allMatch(
                peer ->
                    claim.notHeldMillis.getOrDefault(peer, Long.MIN_VALUE) >= oldestValidMillis);
  }

  private CompletableFuture<Optional<ByteString>> handle(String from, ByteString payload) {
    try {
      return handle(from, SlotMessage.parseFrom(payload));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("routing: malformed slot message from %s.", from);
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
              .ifPresent(borrow -> borrow.answer(List.of()));
      default -> LOGGER.atWarning().log("routing: slot message without a body from %s.", from);
    }
    return CompletableFuture.completedFuture(reply);
  }

  private SlotTransferReply transfer(String from, SlotTransfer transfer) {
    boolean agreedSender = ledger.peerIds().contains(from);
    boolean accepted = agreedSender && ledger.acceptTransfer(from, transfer);
    return SlotTransferReply.newBuilder().setTaken(accepted).build();
  }

  /** Returns whether this host promised the token to another one. */
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
    long peerIncarnation = message.getIncarnation();
    SlotAcquire body = message.getAcquire();
    for (int i = 0; i < body.getBackendIdsCount(); i++) {
      String backendId = body.getBackendIds(i);
      long knownTerm = i < body.getTermsCount() ? body.getTerms(i) : 0;
      BackendSlots shard = ledger.shard(backendId);
      Optional<BackendSlots.TransferredToken> sentToken = shard.lastTransfer();
      if (shard.isTokenHeld()) {
        if (isAssignedTo(backendId, from)) {
          ledger
              .transferToken(backendId, from, peerIncarnation, knownTerm)
              .ifPresent(reply::addTransfers);
        }
      } else if (sentToken
          .filter(each -> mayBeUndelivered(each, from, peerIncarnation, knownTerm))
          .isPresent()) {
        reply.addTransfers(sentToken.get().transfer());
      } else if (sentToken.filter(each -> wasSentToOther(each, from, peerIncarnation)).isEmpty()) {
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

  /**
   * Returns whether the token was transferred to the claiming process, which may not have received
   * it yet.
   */
  private static boolean mayBeUndelivered(
      BackendSlots.TransferredToken sentToken, String host, long peerIncarnation, long knownTerm) {
    return isReceiver(sentToken, host, peerIncarnation)
        && sentToken.transfer().getTerm() > knownTerm;
  }

  /** Returns whether the token was transferred to another process of an agreed host. */
  private boolean wasSentToOther(
      BackendSlots.TransferredToken sentToken, String host, long peerIncarnation) {
    return !isReceiver(sentToken, host, peerIncarnation)
        && ledger.peerIds().contains(sentToken.receiver());
  }

  private static boolean isReceiver(
      BackendSlots.TransferredToken sentToken, String host, long peerIncarnation) {
    return sentToken.receiver().equals(host) && sentToken.incarnation() == peerIncarnation;
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
      LOGGER.atWarning().withCause(e).log("routing: malformed reply to a token claim.");
      return Optional.empty();
    }
  }

  private static Optional<Boolean> transferReply(ByteString payload) {
    try {
      return Optional.of(SlotTransferReply.parseFrom(payload).getTaken());
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log("routing: malformed reply to a token transfer.");
      return Optional.empty();
    }
  }
}
