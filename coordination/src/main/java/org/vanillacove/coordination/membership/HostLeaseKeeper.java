package org.vanillacove.coordination.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.coordination.session.PlanStore;
import org.vanillacove.coordination.session.SessionPlan;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.protocol.generated.MembershipMessage;
import org.vanillacove.protocol.generated.StandingReplyMessage;
import org.vanillacove.protocol.generated.StandingRequestMessage;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.cell.CellState;

/**
 * Renews the lease of this host, which the leader or a majority of the host's region grants. The
 * leader itself needs a recent read of the log or the votes of a majority of all hosts.
 *
 * <p>Each lease lasts at most for the host lease time, counted from the moment of the request on
 * this host's monotonic clock, so a host that was paused finds its lease expired when it resumes.
 */
public final class HostLeaseKeeper {
  /** Requests per host lease time; a lease survives the loss of single replies. */
  private static final int REQUESTS_PER_LEASE = 4;

  /** Identifier, peer address and availability zone of this host. */
  private final HostSpec self;

  /** Sends messages to the other hosts and receives theirs. */
  private final PeerLink link;

  /** Clocks and periodic timers. */
  private final TimerService timer;

  /** Intervals and timeouts of the cell. */
  private final CellTimings timings;

  /** Cell state, with the records of the log applied. */
  private final CellStore store;

  /** Reads the log; knows up to which time its records have been applied. */
  private final StreamReader reader;

  /** Newest session plan that this host knows. */
  private final PlanStore plans;

  /** Runs requests and the counting of votes one at a time. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Periodic timers, cancelled by {@link #close}. */
  private final List<TimerService.Subscription> subscriptions = new ArrayList<>();

  /** Monotonic time at which this process started, in milliseconds. */
  private final long startedAtMillis;

  /**
   * Whether this process has, at any time since its start, known the newest leadership claim and
   * the plan of that epoch; it doesn't vote before.
   */
  private volatile boolean knowsNewestPlan;

  /** Monotonic time at which the lease granted by the leader expires, in milliseconds. */
  private volatile long leaderLeaseUntilMillis = Long.MIN_VALUE;

  /** Monotonic time at which the lease granted by the region expires, in milliseconds. */
  private volatile long regionLeaseUntilMillis = Long.MIN_VALUE;

  /** Monotonic time until which a majority of all hosts confirms this leader, in milliseconds. */
  private volatile long leadershipConfirmedUntilMillis = Long.MIN_VALUE;

  /** Epoch for which that majority voted. */
  private volatile long confirmedEpoch;

  /** Creates a keeper without a lease. */
  public HostLeaseKeeper(
      HostSpec self,
      PeerLink link,
      TimerService timer,
      CellTimings timings,
      CellStore store,
      StreamReader reader,
      PlanStore plans) {
    this.self = self;
    this.link = link;
    this.timer = timer;
    this.timings = timings;
    this.store = store;
    this.reader = reader;
    this.plans = plans;
    this.startedAtMillis = timer.monotonicMillis();
  }

  /** Requests a host lease now and then periodically. */
  public void start() {
    subscriptions.add(
        timer.every(
            timings.hostLease().dividedBy(REQUESTS_PER_LEASE),
            () -> shard.execute(this::requestLeases)));
    shard.execute(this::requestLeases);
  }

  /** Stops the requests; a lease that was granted runs out. */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Requests a host lease now, for instance after a new leader's claim was applied. */
  public void requestSoon() {
    shard.execute(this::requestLeases);
  }

  /**
   * Returns whether this host has an unexpired lease granted by the leader or, if it is the leader
   * itself, whether it may still act as leader.
   */
  public boolean hasLeaseFromLeader() {
    return remainingMillis() > 0 || timer.monotonicMillis() < leaderLeaseUntilMillis;
  }

  /** Returns whether this host has an unexpired lease granted by a majority of its region. */
  public boolean hasLeaseFromRegion() {
    return timer.monotonicMillis() < regionLeaseUntilMillis;
  }

  /** Returns whether this host may renew leases and use its slots now. */
  public boolean hasHostLease() {
    return hasLeaseFromLeader() || hasLeaseFromRegion();
  }

  /**
   * Returns for how long this host may act as leader without another read of the log or another
   * majority vote, in milliseconds; zero if it isn't the leader.
   */
  public long remainingMillis() {
    if (!isLeader()) {
      return 0;
    }
    long byLog = reader.freshAsOfMillis() + timings.hostLease().toMillis();
    long byVotes =
        confirmedEpoch == store.epoch() ? leadershipConfirmedUntilMillis : Long.MIN_VALUE;
    return Math.max(0, Math.max(byLog, byVotes) - timer.monotonicMillis());
  }

  /**
   * Answers another host's request for a lease: the leader grants it if the requester knows no
   * newer plan, a follower votes for it if the requester knows at least the follower's plan. The
   * reply carries this host's plan if that is newer.
   */
  public Optional<ByteString> vote(String from, StandingRequestMessage request) {
    PlanStamp requested = new PlanStamp(request.getEpoch(), request.getPlanVersion());
    PlanStamp known = plans.stamp();
    SessionPlan plan = plans.plan();
    StandingReplyMessage.Builder reply =
        StandingReplyMessage.newBuilder()
            .setEpoch(known.epoch())
            .setPlanVersion(known.version())
            .setLeaderClockMillis(timer.monotonicMillis());
    long remaining = remainingMillis();
    boolean leads = remaining > 0 && plan.stamp().epoch() == store.epoch();
    if (leads && known.isAtLeastAsNewAs(requested)) {
      reply.setByLeader(true).setGranted(true).setRemainingMillis(remaining);
    } else if (!isLeader() && mayVote() && requested.isAtLeastAsNewAs(known)) {
      reply.setGranted(true).setRemainingMillis(timings.hostLease().toMillis());
    }
    if (plan.stamp().compareTo(requested) > 0) {
      reply.setPlan(plan.toMessage());
    }
    return Optional.of(reply.build().toByteString());
  }

  private boolean isLeader() {
    Optional<String> leader = store.read(CellState::leader);
    return leader.isPresent()
        && leader.get().equals(self.id())
        && plans.plan().stamp().epoch() == store.epoch();
  }

  private boolean mayVote() {
    long now = timer.monotonicMillis();
    if (!knowsNewestPlan) {
      knowsNewestPlan =
          reader.freshAsOfMillis() >= startedAtMillis
              && store.epoch() > 0
              && plans.plan().stamp().epoch() == store.epoch();
    }
    return knowsNewestPlan && now - startedAtMillis >= timings.hostLease().toMillis();
  }

  /** Requests a lease from the leader each time, from other hosts only if it expires soon. */
  private void requestLeases() {
    List<HostSpec> hosts = store.read(CellState::hosts);
    long now = timer.monotonicMillis();
    long validUntil = leaderLeaseUntilMillis;
    if (isLeader()) {
      validUntil = reader.freshAsOfMillis() + timings.hostLease().toMillis();
      if (isExpiringSoon(validUntil, now)) {
        requestLeadershipConfirmation(hosts);
      }
    } else {
      requestFromLeader();
    }
    // Updates knowsNewestPlan even if no other host requests a vote.
    mayVote();
    if (isExpiringSoon(validUntil, now)) {
      requestFromRegion(hosts);
    }
  }

  private boolean isExpiringSoon(long untilMillis, long nowMillis) {
    return untilMillis - nowMillis < timings.hostLease().toMillis() / 2;
  }

  private void requestFromLeader() {
    Optional<String> leader = store.read(CellState::leader);
    if (leader.isEmpty() || leader.get().equals(self.id())) {
      return;
    }
    long requestedAt = timer.monotonicMillis();
    request(leader.get(), reply -> handleLeaderReply(reply, requestedAt));
  }

  private void handleLeaderReply(StandingReplyMessage reply, long requestedAtMillis) {
    if (reply.getGranted() && reply.getByLeader() && reply.getEpoch() >= store.epoch()) {
      long remaining = Math.min(reply.getRemainingMillis(), timings.hostLease().toMillis());
      leaderLeaseUntilMillis = Math.max(leaderLeaseUntilMillis, requestedAtMillis + remaining);
      plans.updateLeaderClock(reply.getEpoch(), reply.getLeaderClockMillis());
    }
  }

  private void requestFromRegion(List<HostSpec> hosts) {
    List<HostSpec> region =
        hosts.stream().filter(host -> host.zone().region().equals(self.zone().region())).toList();
    long requestedAt = timer.monotonicMillis();
    PlanStamp stamp = plans.stamp();
    Set<String> votes = new HashSet<>();
    if (mayVote() && region.contains(self)) {
      votes.add(self.id());
    }
    Runnable count =
        () -> {
          if (votes.size() * 2 > region.size() && plans.stamp().equals(stamp)) {
            regionLeaseUntilMillis =
                Math.max(regionLeaseUntilMillis, requestedAt + timings.hostLease().toMillis());
          }
        };
    count.run();
    for (HostSpec host : region) {
      if (!host.id().equals(self.id())) {
        request(host.id(), reply -> countVote(host.id(), reply, votes, count));
      }
    }
  }

  private void requestLeadershipConfirmation(List<HostSpec> hosts) {
    long requestedAt = timer.monotonicMillis();
    long epoch = store.epoch();
    Set<String> votes = new HashSet<>();
    votes.add(self.id());
    Runnable count =
        () -> {
          if (votes.size() * 2 > hosts.size() && store.epoch() == epoch) {
            leadershipConfirmedUntilMillis =
                Math.max(
                    leadershipConfirmedUntilMillis, requestedAt + timings.hostLease().toMillis());
            confirmedEpoch = epoch;
          }
        };
    count.run();
    for (HostSpec host : hosts) {
      if (!host.id().equals(self.id())) {
        request(host.id(), reply -> countVote(host.id(), reply, votes, count));
      }
    }
  }

  private static void countVote(
      String hostId, StandingReplyMessage reply, Set<String> votes, Runnable count) {
    if (reply.getGranted()) {
      votes.add(hostId);
      count.run();
    }
  }

  private void request(String hostId, ReplyHandler handler) {
    PlanStamp stamp = plans.stamp();
    ByteString bytes =
        MembershipMessage.newBuilder()
            .setStandingRequest(
                StandingRequestMessage.newBuilder()
                    .setEpoch(stamp.epoch())
                    .setPlanVersion(stamp.version()))
            .build()
            .toByteString();
    link.call(
            hostId,
            PeerChannel.MEMBERSHIP,
            bytes,
            timings.hostLease().dividedBy(REQUESTS_PER_LEASE))
        .thenAccept(
            answer -> answer.ifPresent(reply -> shard.execute(() -> handle(reply, handler))));
  }

  private void handle(ByteString bytes, ReplyHandler handler) {
    try {
      StandingReplyMessage reply = StandingReplyMessage.parseFrom(bytes);
      if (reply.hasPlan()) {
        plans.adopt(SessionPlan.of(reply.getPlan()));
      }
      handler.handle(reply);
    } catch (InvalidProtocolBufferException e) {
      // An unreadable reply, for instance of a later release, counts as no reply.
      return;
    }
  }

  /** Processes the reply to one host lease request. */
  @FunctionalInterface
  private interface ReplyHandler {
    /** Runs on the shard, after a newer plan in the reply was adopted. */
    void handle(StandingReplyMessage reply);
  }
}
