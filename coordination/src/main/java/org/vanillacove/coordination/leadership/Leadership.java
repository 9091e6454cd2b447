package org.vanillacove.coordination.leadership;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.membership.MembershipService;
import org.vanillacove.coordination.membership.PeerTable;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.RecordListener;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.coordination.stream.StreamWriter;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellState;

/**
 * Claims leadership when the leader is absent. The order of claims in the log decides which host
 * leads; clocks only determine when this host writes a claim.
 */
public final class Leadership implements RecordListener {
  /** Log of changes of leadership on this host. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Suspicion times without a record of the leader after which a minority may replace it. */
  private static final int MINORITY_CLAIM_SUSPICIONS = 6;

  /** Heartbeat intervals that a host waits longer than the host one rank before it. */
  private static final int HEARTBEATS_PER_RANK = 2;

  /** Identifier, peer address and availability zone of this host. */
  private final HostSpec self;

  /** Cell state, with the records of the log applied. */
  private final CellStore store;

  /** Reads the log; knows up to which time its records have been applied. */
  private final StreamReader reader;

  /** Writes claims to the log. */
  private final StreamWriter writer;

  /** Knows which hosts are reachable or leaving. */
  private final MembershipService membership;

  /** Newest heartbeat of each other host. */
  private final PeerTable peers;

  /** Clocks and periodic timers. */
  private final TimerService timer;

  /** Intervals and timeouts of the cell. */
  private final CellTimings timings;

  /** Records the epochs in which this host becomes leader. */
  private final TimelineRecorder timeline;

  /** Notified when this host becomes leader or steps down. */
  private final LeadershipListener listener;

  /** Runs checks and notifications one at a time; guards the fields below. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Monotonic time at which this process started, in milliseconds. */
  private final long startedAtMillis;

  /** Periodic check for an absent leader, empty before {@link #start}. */
  private Optional<TimerService.Subscription> subscription = Optional.empty();

  /** Monotonic time since which the leader is absent, in milliseconds; empty if it is present. */
  private Optional<Long> leaderAbsentSinceMillis = Optional.empty();

  /** Whether a claim was written and its outcome isn't known yet. */
  private boolean claiming;

  /** Epoch that this host leads, zero if it isn't the leader. */
  private volatile long leadingEpoch;

  /**
   * Monotonic time at which the newest record of the current epoch was applied, in milliseconds.
   */
  private volatile long lastLeaderRecordMillis;

  /** Creates the election; it does nothing before {@link #start}. */
  public Leadership(
      HostSpec self,
      CellStore store,
      StreamReader reader,
      StreamWriter writer,
      MembershipService membership,
      PeerTable peers,
      TimerService timer,
      CellTimings timings,
      TimelineRecorder timeline,
      LeadershipListener listener) {
    this.self = self;
    this.store = store;
    this.reader = reader;
    this.writer = writer;
    this.membership = membership;
    this.peers = peers;
    this.timer = timer;
    this.timings = timings;
    this.timeline = timeline;
    this.listener = listener;
    this.startedAtMillis = timer.monotonicMillis();
    this.lastLeaderRecordMillis = startedAtMillis;
  }

  /** Starts to check for an absent leader once per heartbeat. */
  public void start() {
    subscription =
        Optional.of(
            timer.every(timings.heartbeat(), () -> shard.execute(this::claimIfLeaderAbsent)));
  }

  /** Stops the checks; doesn't hand leadership over. */
  public void close() {
    subscription.ifPresent(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Returns the epoch that this host leads, zero if it isn't the leader. */
  public long leadingEpoch() {
    return leadingEpoch;
  }

  @Override
  public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {
    if (envelope.epoch() == store.epoch() && envelope.epoch() > 0) {
      lastLeaderRecordMillis = timer.monotonicMillis();
    }
    boolean applied = outcome instanceof ApplyOutcome.Applied;
    if (applied && envelope.record() instanceof CellRecord.LeaderClaimed) {
      shard.execute(() -> handleClaim(offset, envelope));
    }
  }

  @Override
  public void stateReplaced() {
    shard.execute(this::stepDown);
  }

  private void handleClaim(long offset, RecordEnvelope envelope) {
    leaderAbsentSinceMillis = Optional.empty();
    stepDown();
    if (envelope.proposalId().startsWith(writer.writerId() + ":")) {
      leadingEpoch = envelope.epoch();
      LOGGER.atInfo().log("leadership: this host leads in epoch %d.", envelope.epoch());
      timeline.record("leader-claimed", self.id(), "leads in epoch " + envelope.epoch());
      listener.lead(envelope.epoch(), offset);
    }
  }

  private void stepDown() {
    if (leadingEpoch != 0) {
      LOGGER.atInfo().log("leadership: this host stepped down.");
      leadingEpoch = 0;
      listener.stepDown();
    }
  }

  private void claimIfLeaderAbsent() {
    if (claiming || leadingEpoch != 0 || !mayClaim()) {
      return;
    }
    Optional<String> leader = store.read(CellState::leader);
    List<HostSpec> hosts = store.read(CellState::hosts);
    boolean absent =
        leader.isEmpty()
            || leader.get().equals(self.id())
            || hosts.stream().noneMatch(host -> host.id().equals(leader.get()))
            || membership.isLeaving(leader.get());
    if (!absent && membership.isReachable(leader.get())) {
      leaderAbsentSinceMillis = Optional.empty();
      return;
    }
    long now = timer.monotonicMillis();
    if (leaderAbsentSinceMillis.isEmpty()) {
      leaderAbsentSinceMillis = Optional.of(now);
    }
    long wait = rank(hosts) * HEARTBEATS_PER_RANK * timings.heartbeat().toMillis();
    boolean settled = now - startedAtMillis >= timings.suspicion().toMillis() || hosts.size() == 1;
    if (settled
        && now - leaderAbsentSinceMillis.get() >= wait
        && (absent || mayReplaceLeader(hosts))) {
      claim();
    }
  }

  private boolean mayClaim() {
    long age = timer.monotonicMillis() - reader.freshAsOfMillis();
    return age <= timings.suspicion().toMillis()
        && !membership.isLeaving(self.id())
        && membership.isMember();
  }

  /**
   * Returns the position of this host among the reachable hosts, in an order that all hosts derive
   * from the next epoch; it delays claims so that rarely two hosts claim at once.
   */
  private long rank(List<HostSpec> hosts) {
    long epoch = store.epoch() + 1;
    List<String> order =
        hosts.stream()
            .map(HostSpec::id)
            .filter(id -> membership.isReachable(id) && !membership.isLeaving(id))
            .sorted(Comparator.comparingLong(id -> weight(epoch, id)))
            .toList();
    return Math.max(0, order.indexOf(self.id()));
  }

  /**
   * Returns whether an unresponsive leader may be replaced: a majority of hosts receives no
   * heartbeat from it, or no record of it has arrived for long and no reachable host receives its
   * heartbeats.
   */
  private boolean mayReplaceLeader(List<HostSpec> hosts) {
    int withoutLeader = 1;
    boolean reachesOthers = false;
    for (Map.Entry<String, PeerTable.ReceivedHeartbeat> peer : peers.all().entrySet()) {
      boolean member = hosts.stream().anyMatch(host -> host.id().equals(peer.getKey()));
      if (member && membership.isReachable(peer.getKey())) {
        boolean hears = peer.getValue().message().getHearsLeader();
        reachesOthers |= hears;
        withoutLeader += hears ? 0 : 1;
      }
    }
    long sinceRecord = timer.monotonicMillis() - lastLeaderRecordMillis;
    boolean absentFromLog =
        sinceRecord > MINORITY_CLAIM_SUSPICIONS * timings.suspicion().toMillis();
    return withoutLeader * 2 > hosts.size() || (absentFromLog && !reachesOthers);
  }

  private void claim() {
    claiming = true;
    leaderAbsentSinceMillis = Optional.empty();
    writer
        .write(store.epoch() + 1, new CellRecord.LeaderClaimed(self.id()))
        .thenAccept(result -> shard.execute(() -> claiming = false));
  }

  private static long weight(long epoch, String hostId) {
    return Hashing.farmHashFingerprint64()
        .newHasher()
        .putLong(epoch)
        .putString(hostId, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
