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
final class SlotTokens {
  /** Longest wait for a peer's answer. */
  private static final Duration CALL_DEADLINE = Duration.ofMillis(500);

  /** Pause before a token that was not confirmed is sent again. */
  private static final Duration RESEND_PAUSE = Duration.ofMillis(100);

  /** Number of times that a leaving host sends a token. */
  private static final int HAND_OVER_TRIES = 10;

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
  private final Set<String> calling = ConcurrentHashMap.newKeySet();

  /** Agreed hosts at the last look; guarded by this. */
  private Set<String> agreed = Set.of();

  SlotTokens(
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
    private final Map<String, Long> answers = new HashMap<>();

    /** Loans of each peer at its newest answer. */
    private final Map<String, List<SlotLoan>> loans = new HashMap<>();

    /** Monotonic time since which no host left the membership, in milliseconds. */
    private long quietSinceMillis;

    /** Whether the backend server is being asked. */
    private boolean probing;
  }

  /** Claims the tokens that this host should hold; called often. */
  void tick() {
    if (ledger.isDraining() || !ledger.isInStanding()) {
      return;
    }
    List<String> wanted = refreshClaims();
    if (wanted.isEmpty()) {
      return;
    }
    for (String peer : ledger.peerIds()) {
      if (calling.add(peer)) {
        ask(peer, wanted);
      }
    }
    settleClaims();
  }

  /**
   * Gives every token away, each to the host that comes next for it; false if one was not taken.
   */
  CompletableFuture<Boolean> handOver() {
    ledger.drain();
    List<HostSpec> left =
        membership.agreedHosts().stream()
            .filter(host -> !host.id().equals(self()) && membership.isReachable(host.id()))
            .toList();
    List<CompletableFuture<Boolean>> sent = new ArrayList<>();
    for (String backendId : ledger.heldTokens()) {
      Optional<String> next = owners.owner(backendId, left).or(() -> anyOf(left));
      Optional<SlotTransfer> transfer =
          next.flatMap(receiver -> ledger.passOn(backendId, receiver, 0, 0));
      transfer.ifPresent(message -> sent.add(send(next.get(), message, HAND_OVER_TRIES)));
    }
    return CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new))
        .thenApply(done -> sent.stream().allMatch(CompletableFuture::join));
  }

  private CompletableFuture<Boolean> send(String receiver, SlotTransfer transfer, int tries) {
    ByteString message = ledger.message().setTransfer(transfer).build().toByteString();
    return link.call(receiver, PeerChannel.SLOT, message, CALL_DEADLINE)
        .thenCompose(
            reply -> {
              boolean taken = reply.flatMap(SlotTokens::transferReply).orElse(false);
              if (taken || tries <= 1) {
                return CompletableFuture.completedFuture(taken);
              }
              CompletableFuture<Boolean> later = new CompletableFuture<>();
              timer.after(
                  RESEND_PAUSE,
                  () -> send(receiver, transfer, tries - 1).thenAccept(later::complete));
              return later;
            });
  }

  private synchronized List<String> refreshClaims() {
    Set<String> hosts = new HashSet<>(ledger.peerIds());
    boolean shrunk = !hosts.containsAll(agreed);
    if (!hosts.equals(agreed)) {
      claims.values().forEach(claim -> claim.answers.clear());
    }
    agreed = hosts;
    long now = timer.monotonicMillis();
    List<String> wanted = new ArrayList<>();
    for (ListedHost backend : directory.listed()) {
      if (isMine(backend.id()) && !ledger.holdsToken(backend.id())) {
        Claim claim = claims.computeIfAbsent(backend.id(), id -> newClaim(now));
        claim.quietSinceMillis = shrunk ? now : claim.quietSinceMillis;
        wanted.add(backend.id());
      }
    }
    claims.keySet().retainAll(wanted);
    return wanted;
  }

  private static Claim newClaim(long now) {
    Claim claim = new Claim();
    claim.quietSinceMillis = now;
    return claim;
  }

  private void ask(String peer, List<String> wanted) {
    SlotAcquire.Builder body = SlotAcquire.newBuilder();
    for (String backendId : wanted) {
      body.addBackendIds(backendId).addTerms(ledger.shard(backendId).term());
    }
    ByteString message = ledger.message().setAcquire(body).build().toByteString();
    link.call(peer, PeerChannel.SLOT, message, CALL_DEADLINE)
        .whenComplete(
            (reply, error) -> {
              calling.remove(peer);
              if (reply != null) {
                reply.flatMap(SlotTokens::acquireReply).ifPresent(answer -> take(peer, answer));
              }
            });
  }

  private void take(String peer, SlotAcquireReply answer) {
    answer.getTransfersList().forEach(transfer -> ledger.receive(peer, transfer));
    synchronized (this) {
      for (String backendId : answer.getNotHeldList()) {
        Claim claim = claims.get(backendId);
        if (claim != null) {
          claim.answers.put(peer, timer.monotonicMillis());
          claim.loans.put(
              peer,
              answer.getBorrowedList().stream()
                  .filter(loan -> loan.getBackendId().equals(backendId))
                  .toList());
        }
      }
    }
    settleClaims();
  }

  private void settleClaims() {
    List<String> ready = new ArrayList<>();
    synchronized (this) {
      claims.forEach(
          (backendId, claim) -> {
            if (!claim.probing && isCertain(claim)) {
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
              settle(backendId, error == null && running != null ? running : OptionalInt.empty()));
    }
  }

  private void settle(String backendId, OptionalInt running) {
    List<SlotLoan> known = new ArrayList<>();
    long unknownUntil;
    synchronized (this) {
      Claim claim = claims.get(backendId);
      if (claim == null) {
        return;
      }
      claim.probing = false;
      if (!isCertain(claim) || ledger.holdsToken(backendId) || isPromised(backendId)) {
        return;
      }
      claims.remove(backendId);
      claim.loans.values().forEach(known::addAll);
      unknownUntil = claim.quietSinceMillis + timing.lapseMillis() + ledger.inFlightMillis();
    }
    known.addAll(ledger.borrowed(backendId));
    int unaccounted = Math.max(0, ledger.limit() - known.size());
    int unknown = Math.min(unaccounted, running.orElse(unaccounted));
    LOGGER.atInfo().log("routing: takes over the slots of %s, %d unknown.", backendId, unknown);
    ledger.takeOver(backendId, known, unknown, unknownUntil);
  }

  /** Returns whether no other process can hold the token or start a request on it. */
  private boolean isCertain(Claim claim) {
    long now = timer.monotonicMillis();
    if (now < claim.quietSinceMillis + timing.lapseMillis()) {
      return false;
    }
    long oldest = now - timing.lapseMillis();
    return ledger.isInStanding()
        && ledger.peerIds().stream()
            .allMatch(peer -> claim.answers.getOrDefault(peer, Long.MIN_VALUE) >= oldest);
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
        return ledger.borrow(from, message);
      }
      case ACQUIRE -> reply = Optional.of(acquire(from, message).toByteString());
      case TRANSFER -> reply = Optional.of(transfer(from, message.getTransfer()).toByteString());
      case RETURNED -> ledger.returned(message.getReturned());
      case HOLDINGS -> ledger.reconcile(from, message.getIncarnation(), message.getHoldings());
      case CANCEL ->
          ledger
              .wants()
              .cancel(from, message.getIncarnation(), message.getCancel().getSequence())
              .ifPresent(want -> want.answer(List.of()));
      default -> LOGGER.atWarning().log("routing: empty slot message from %s.", from);
    }
    return CompletableFuture.completedFuture(reply);
  }

  private SlotTransferReply transfer(String from, SlotTransfer transfer) {
    boolean agreedSender = ledger.peerIds().contains(from);
    boolean taken = agreedSender && ledger.receive(from, transfer);
    return SlotTransferReply.newBuilder().setTaken(taken).build();
  }

  /** Returns whether this host let another one go first. */
  private boolean isPromised(String backendId) {
    return ledger
        .shard(backendId)
        .isPromisedAwayFrom(self(), timer.monotonicMillis(), ledger.view());
  }

  private SlotAcquireReply acquire(String from, SlotMessage message) {
    SlotAcquireReply.Builder reply = SlotAcquireReply.newBuilder();
    if (!ledger.isInStanding() || !ledger.peerIds().contains(from)) {
      return reply.build();
    }
    long process = message.getIncarnation();
    SlotAcquire body = message.getAcquire();
    for (int i = 0; i < body.getBackendIdsCount(); i++) {
      String backendId = body.getBackendIds(i);
      long known = i < body.getTermsCount() ? body.getTerms(i) : 0;
      BackendSlots shard = ledger.shard(backendId);
      Optional<BackendSlots.PassedOn> passed = shard.passedOn();
      if (shard.isHeld()) {
        if (isNext(backendId, from)) {
          ledger.passOn(backendId, from, process, known).ifPresent(reply::addTransfers);
        }
      } else if (passed.filter(each -> isOnItsWay(each, from, process, known)).isPresent()) {
        reply.addTransfers(passed.get().transfer());
      } else if (passed.filter(each -> isWithOther(each, from, process)).isEmpty()) {
        long until = timer.monotonicMillis() + 2 * timing.lapseMillis();
        shard.promise(from, until, ledger.view());
        reply.addNotHeld(backendId).addAllBorrowed(ledger.borrowed(backendId));
      }
    }
    return reply.build();
  }

  private boolean isNext(String backendId, String host) {
    if (directory.find(backendId).isEmpty()) {
      return true;
    }
    return owners.owner(backendId, membership.agreedHosts()).equals(Optional.of(host));
  }

  /** Returns whether a process that asks for a token may not have got it yet. */
  private static boolean isOnItsWay(
      BackendSlots.PassedOn passed, String host, long process, long known) {
    return isSame(passed, host, process) && passed.transfer().getTerm() > known;
  }

  /** Returns whether a token went to an agreed host, unless that process itself asks for it. */
  private boolean isWithOther(BackendSlots.PassedOn passed, String host, long process) {
    return !isSame(passed, host, process) && ledger.peerIds().contains(passed.receiver());
  }

  private static boolean isSame(BackendSlots.PassedOn passed, String host, long process) {
    return passed.receiver().equals(host) && passed.incarnation() == process;
  }

  private boolean isMine(String backendId) {
    return owners.owner(backendId, membership.agreedHosts()).equals(Optional.of(self()));
  }

  private static Optional<String> anyOf(List<HostSpec> hosts) {
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
