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
import org.vanillacove.coordination.stream.EventShard;
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
 * Keeps this host's standing: the leader's word, the word of a majority of its region, and, for the
 * leader itself, a fresh read of the log or the word of a majority of all hosts.
 *
 * <p>Each word lasts for the standing time from the moment at which it was asked for, on this
 * host's monotonic clock, so a paused host finds it lapsed when it wakes.
 */
public final class StandingKeeper {
  /** Requests for standing within one standing time. */
  private static final int ROUNDS_PER_STANDING = 4;

  /** This host. */
  private final HostSpec self;

  /** Messages between hosts. */
  private final PeerLink link;

  /** Source of time. */
  private final TimerService timer;

  /** Times that are kept. */
  private final CellTimings timings;

  /** The folded state. */
  private final CellStore store;

  /** The tail of the stream. */
  private final StreamReader reader;

  /** The newest plan. */
  private final PlanStore plans;

  /** Serialises the counting of votes. */
  private final EventShard shard = new EventShard();

  /** Timers to be cancelled at the end. */
  private final List<TimerService.Subscription> subscriptions = new ArrayList<>();

  /** Monotonic time at which this process started, in milliseconds. */
  private final long startedAtMillis;

  /** Whether this run of the process has once known the newest claim and its plan. */
  private volatile boolean qualified;

  /** Monotonic time until which the leader's word holds, in milliseconds. */
  private volatile long leaderWordUntilMillis = Long.MIN_VALUE;

  /** Monotonic time until which the region's word holds, in milliseconds. */
  private volatile long regionWordUntilMillis = Long.MIN_VALUE;

  /** Monotonic time until which a majority of all hosts supports this leader, in milliseconds. */
  private volatile long supportUntilMillis = Long.MIN_VALUE;

  /** Epoch for which that support was given. */
  private volatile long supportEpoch;

  /** Creates a keeper without standing. */
  public StandingKeeper(
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

  /** Starts to ask for standing. */
  public void start() {
    subscriptions.add(
        timer.every(
            timings.standing().dividedBy(ROUNDS_PER_STANDING), () -> shard.execute(this::ask)));
    shard.execute(this::ask);
  }

  /** Stops to ask. */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Asks for standing now, for instance after a new leader was folded. */
  public void askSoon() {
    shard.execute(this::ask);
  }

  /** Returns whether the leader's word holds, for the leader itself whether it may lead on. */
  public boolean hasLeaderWord() {
    return remainingMillis() > 0 || timer.monotonicMillis() < leaderWordUntilMillis;
  }

  /** Returns whether the word of a majority of the region holds. */
  public boolean hasRegionWord() {
    return timer.monotonicMillis() < regionWordUntilMillis;
  }

  /** Returns whether this host may renew leases and use its slots now. */
  public boolean hasStanding() {
    return hasLeaderWord() || hasRegionWord();
  }

  /** Returns how long this host may lead on without further word, in milliseconds. */
  public long remainingMillis() {
    if (!isLeader()) {
      return 0;
    }
    long fresh = reader.freshAsOfMillis() + timings.standing().toMillis();
    long supported = supportEpoch == store.epoch() ? supportUntilMillis : Long.MIN_VALUE;
    return Math.max(0, Math.max(fresh, supported) - timer.monotonicMillis());
  }

  /** Answers a request of another host. */
  public Optional<ByteString> vote(String from, StandingRequestMessage request) {
    PlanStamp asked = new PlanStamp(request.getEpoch(), request.getPlanVersion());
    PlanStamp known = plans.stamp();
    SessionPlan plan = plans.plan();
    StandingReplyMessage.Builder reply =
        StandingReplyMessage.newBuilder()
            .setEpoch(known.epoch())
            .setPlanVersion(known.version())
            .setLeaderClockMillis(timer.monotonicMillis());
    long remaining = remainingMillis();
    boolean leads = remaining > 0 && plan.stamp().epoch() == store.epoch();
    if (leads && known.covers(asked)) {
      reply.setByLeader(true).setGranted(true).setRemainingMillis(remaining);
    } else if (!isLeader() && mayVote() && asked.covers(known)) {
      reply.setGranted(true).setRemainingMillis(timings.standing().toMillis());
    }
    if (plan.stamp().compareTo(asked) > 0) {
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
    if (!qualified) {
      qualified =
          reader.freshAsOfMillis() >= startedAtMillis
              && store.epoch() > 0
              && plans.plan().stamp().epoch() == store.epoch();
    }
    return qualified && now - startedAtMillis >= timings.standing().toMillis();
  }

  /** Asks the leader each time, all others only if the words that hold will end soon. */
  private void ask() {
    List<HostSpec> hosts = store.read(CellState::hosts);
    long now = timer.monotonicMillis();
    long word = leaderWordUntilMillis;
    if (isLeader()) {
      word = reader.freshAsOfMillis() + timings.standing().toMillis();
      if (isEndingSoon(word, now)) {
        askForSupport(hosts);
      }
    } else {
      askLeader();
    }
    mayVote();
    if (isEndingSoon(word, now)) {
      askRegion(hosts);
    }
  }

  private boolean isEndingSoon(long untilMillis, long nowMillis) {
    return untilMillis - nowMillis < timings.standing().toMillis() / 2;
  }

  private void askLeader() {
    Optional<String> leader = store.read(CellState::leader);
    if (leader.isEmpty() || leader.get().equals(self.id())) {
      return;
    }
    long asked = timer.monotonicMillis();
    request(leader.get(), reply -> handleLeaderReply(reply, asked));
  }

  private void handleLeaderReply(StandingReplyMessage reply, long askedAtMillis) {
    if (reply.getGranted() && reply.getByLeader() && reply.getEpoch() >= store.epoch()) {
      long remaining = Math.min(reply.getRemainingMillis(), timings.standing().toMillis());
      leaderWordUntilMillis = Math.max(leaderWordUntilMillis, askedAtMillis + remaining);
      plans.noteLeaderClock(reply.getEpoch(), reply.getLeaderClockMillis());
    }
  }

  private void askRegion(List<HostSpec> hosts) {
    List<HostSpec> region =
        hosts.stream().filter(host -> host.zone().region().equals(self.zone().region())).toList();
    long asked = timer.monotonicMillis();
    PlanStamp stamp = plans.stamp();
    Set<String> votes = new HashSet<>();
    if (mayVote() && region.contains(self)) {
      votes.add(self.id());
    }
    Runnable count =
        () -> {
          if (votes.size() * 2 > region.size() && plans.stamp().equals(stamp)) {
            regionWordUntilMillis =
                Math.max(regionWordUntilMillis, asked + timings.standing().toMillis());
          }
        };
    count.run();
    for (HostSpec host : region) {
      if (!host.id().equals(self.id())) {
        request(host.id(), reply -> countVote(host.id(), reply, votes, count));
      }
    }
  }

  private void askForSupport(List<HostSpec> hosts) {
    long asked = timer.monotonicMillis();
    long epoch = store.epoch();
    Set<String> votes = new HashSet<>();
    votes.add(self.id());
    Runnable count =
        () -> {
          if (votes.size() * 2 > hosts.size() && store.epoch() == epoch) {
            supportUntilMillis =
                Math.max(supportUntilMillis, asked + timings.standing().toMillis());
            supportEpoch = epoch;
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
            timings.standing().dividedBy(ROUNDS_PER_STANDING))
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
      // A reply of a later version that cannot be read counts as no reply.
      return;
    }
  }

  /** Takes note of a reply. */
  @FunctionalInterface
  private interface ReplyHandler {
    /** Handles a reply. */
    void handle(StandingReplyMessage reply);
  }
}
