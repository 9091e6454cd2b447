package org.vanillacove.coordination.routing;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.protocol.generated.SlotBorrow;
import org.vanillacove.protocol.generated.SlotBorrowCancel;
import org.vanillacove.protocol.generated.SlotBorrowReply;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.HostSpec;

/** Borrows slots from peers while requests wait; thread-safe. */
final class SlotBorrower {
  /** Maximum time for which a peer may delay its reply until a slot is free, in milliseconds. */
  private static final long MAX_PEER_WAIT_MILLIS = 200;

  /** Allowance for the round trip to the peer, in milliseconds. */
  private static final long ROUND_TRIP_ALLOWANCE_MILLIS = 300;

  /** Maximum number of slots requested in one call. */
  private static final int MAX_SLOTS_PER_CALL = 4;

  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Membership whose reachable hosts are asked for slots. */
  private final Membership membership;

  /** Sends messages to peers. */
  private final PeerLink link;

  /** Source of monotonic time. */
  private final TimerService timer;

  /** Ledger that borrowed slots are added to. */
  private final SlotLedger ledger;

  /** Calls in flight by identifier of the peer, at most one per peer. */
  private final Map<String, Call> calls = new ConcurrentHashMap<>();

  SlotBorrower(Membership membership, PeerLink link, TimerService timer, SlotLedger ledger) {
    this.membership = membership;
    this.link = link;
    this.timer = timer;
    this.ledger = ledger;
  }

  /**
   * A call in flight.
   *
   * @param sequence sequence number of the call
   * @param cancelled whether a cancellation was sent to the peer
   */
  private record Call(long sequence, AtomicBoolean cancelled) {}

  /**
   * Requests slots from every reachable peer that has no call in flight.
   *
   * @param waiting number of waiting requests
   * @param urgencyMillis urgency of the most urgent request, as a monotonic time
   * @param crossRegion whether to ask peers of other regions too
   */
  void requestSlots(int waiting, long urgencyMillis, boolean crossRegion) {
    long waited = timer.monotonicMillis() - urgencyMillis;
    HostSpec self = membership.self();
    int share = Math.clamp(waiting / Math.max(1, countRegionPeers(self)), 1, MAX_SLOTS_PER_CALL);
    for (HostSpec host : membership.agreedHosts()) {
      boolean sameRegion = host.zone().region().equals(self.zone().region());
      if (!host.id().equals(self.id())
          && (sameRegion || crossRegion)
          && membership.isReachable(host.id())
          && !calls.containsKey(host.id())) {
        call(host.id(), share, waited);
      }
    }
  }

  /** Cancels the calls in flight, since no request waits any more. */
  void cancel() {
    calls.forEach(
        (peer, call) -> {
          if (call.cancelled().compareAndSet(false, true)) {
            SlotBorrowCancel body =
                SlotBorrowCancel.newBuilder().setSequence(call.sequence()).build();
            link.send(
                peer, PeerChannel.SLOT, ledger.newMessage().setCancel(body).build().toByteString());
          }
        });
  }

  private int countRegionPeers(HostSpec self) {
    String region = self.zone().region();
    return (int)
            membership.agreedHosts().stream()
                .filter(host -> host.zone().region().equals(region))
                .count()
        - 1;
  }

  private void call(String peer, int count, long waited) {
    long sequence = ledger.loans().beginCall();
    if (calls.putIfAbsent(peer, new Call(sequence, new AtomicBoolean())) != null) {
      ledger.loans().endCall(sequence);
      return;
    }
    SlotBorrow body =
        SlotBorrow.newBuilder()
            .setSequence(sequence)
            .setCount(count)
            .setWaitedMillis(waited)
            .setPatienceMillis(MAX_PEER_WAIT_MILLIS)
            .build();
    long sentMillis = timer.monotonicMillis();
    ByteString message = ledger.newMessage().setBorrow(body).build().toByteString();
    link.call(
            peer,
            PeerChannel.SLOT,
            message,
            Duration.ofMillis(MAX_PEER_WAIT_MILLIS + ROUND_TRIP_ALLOWANCE_MILLIS))
        .whenComplete(
            (reply, error) -> {
              if (reply != null) {
                acceptLoans(peer, reply, sequence, sentMillis);
              }
              ledger.loans().endCall(sequence);
              calls.remove(peer);
              ledger.notifySlotFreed();
            });
  }

  private void acceptLoans(
      String peer, Optional<ByteString> reply, long sequence, long sentMillis) {
    if (reply.isEmpty()) {
      return;
    }
    try {
      SlotBorrowReply.parseFrom(reply.get())
          .getLoansList()
          .forEach(loan -> ledger.acceptLoan(peer, loan, sequence, sentMillis));
    } catch (InvalidProtocolBufferException e) {
      LOGGER.atWarning().withCause(e).log(
          "routing: malformed reply of %s to a borrow request.", peer);
    }
  }
}
