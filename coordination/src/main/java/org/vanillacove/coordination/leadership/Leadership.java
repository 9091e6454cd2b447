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
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.coordination.stream.FoldListener;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.coordination.stream.StreamWriter;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.FoldOutcome;

/**
 * Claims leadership when the leader is gone. The log decides between claims; the clock only decides
 * when this host makes one.
 */
public final class Leadership implements FoldListener {
  /** Logger. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Suspicion times without a record of the leader after which a minority may claim. */
  private static final int QUIET_SUSPICIONS = 6;

  /** Heartbeats between the claims of hosts that are next to each other in rank. */
  private static final int RANK_HEARTBEATS = 2;

  /** This host. */
  private final HostSpec self;

  /** The folded state. */
  private final CellStore store;

  /** The tail of the stream. */
  private final StreamReader reader;

  /** Takes claims. */
  private final StreamWriter writer;

  /** Says who is reachable. */
  private final MembershipService membership;

  /** Newest heartbeats. */
  private final PeerTable peers;

  /** Source of time. */
  private final TimerService timer;

  /** Times that are kept. */
  private final CellTimings timings;

  /** Takes events. */
  private final TimelineRecorder timeline;

  /** Told of changes. */
  private final LeadershipListener listener;

  /** Serialises the state below. */
  private final EventShard shard = new EventShard();

  /** Monotonic time at which this process started, in milliseconds. */
  private final long startedAtMillis;

  /** The timer that considers a claim. */
  private Optional<TimerService.Subscription> subscription = Optional.empty();

  /** Monotonic time since which the leader is gone, in milliseconds; empty while it is not. */
  private Optional<Long> vacantSinceMillis = Optional.empty();

  /** Whether a claim is under way. */
  private boolean claiming;

  /** Epoch in which this host leads, zero if it does not. */
  private volatile long leadingEpoch;

  /** Monotonic time of the newest record of the leader, in milliseconds. */
  private volatile long leaderRecordAtMillis;

  /** Creates the part; it does nothing before {@link #start}. */
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
    this.leaderRecordAtMillis = startedAtMillis;
  }

  /** Starts to consider claims. */
  public void start() {
    subscription =
        Optional.of(timer.every(timings.heartbeat(), () -> shard.execute(this::consider)));
  }

  /** Stops to consider claims. */
  public void close() {
    subscription.ifPresent(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Returns the epoch in which this host leads, zero if it does not. */
  public long leadingEpoch() {
    return leadingEpoch;
  }

  @Override
  public void folded(long offset, RecordEnvelope envelope, FoldOutcome outcome) {
    if (envelope.epoch() == store.epoch() && envelope.epoch() > 0) {
      leaderRecordAtMillis = timer.monotonicMillis();
    }
    boolean applied = outcome instanceof FoldOutcome.Applied;
    if (applied && envelope.record() instanceof CellRecord.LeaderClaimed) {
      shard.execute(() -> claimed(offset, envelope));
    }
  }

  @Override
  public void reloaded() {
    shard.execute(this::stepDown);
  }

  private void claimed(long offset, RecordEnvelope envelope) {
    vacantSinceMillis = Optional.empty();
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
      LOGGER.atInfo().log("leadership: this host leads no longer.");
      leadingEpoch = 0;
      listener.stepDown();
    }
  }

  private void consider() {
    if (claiming || leadingEpoch != 0 || !mayClaim()) {
      return;
    }
    Optional<String> leader = store.read(CellState::leader);
    List<HostSpec> hosts = store.read(CellState::hosts);
    boolean gone =
        leader.isEmpty()
            || leader.get().equals(self.id())
            || hosts.stream().noneMatch(host -> host.id().equals(leader.get()))
            || membership.isLeaving(leader.get());
    if (!gone && membership.isReachable(leader.get())) {
      vacantSinceMillis = Optional.empty();
      return;
    }
    long now = timer.monotonicMillis();
    if (vacantSinceMillis.isEmpty()) {
      vacantSinceMillis = Optional.of(now);
    }
    long wait = rank(hosts) * RANK_HEARTBEATS * timings.heartbeat().toMillis();
    boolean settled = now - startedAtMillis >= timings.suspicion().toMillis() || hosts.size() == 1;
    if (settled && now - vacantSinceMillis.get() >= wait && (gone || mayReplace(hosts))) {
      claim();
    }
  }

  private boolean mayClaim() {
    long age = timer.monotonicMillis() - reader.freshAsOfMillis();
    return age <= timings.suspicion().toMillis()
        && !membership.isLeaving(self.id())
        && membership.isMember();
  }

  /** Returns the position of this host among those that could claim. */
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

  private boolean mayReplace(List<HostSpec> hosts) {
    int deaf = 1;
    boolean heardByOthers = false;
    for (Map.Entry<String, PeerTable.Heard> peer : peers.all().entrySet()) {
      boolean member = hosts.stream().anyMatch(host -> host.id().equals(peer.getKey()));
      if (member && membership.isReachable(peer.getKey())) {
        boolean hears = peer.getValue().message().getHearsLeader();
        heardByOthers |= hears;
        deaf += hears ? 0 : 1;
      }
    }
    long quiet = timer.monotonicMillis() - leaderRecordAtMillis;
    boolean silentInLog = quiet > QUIET_SUSPICIONS * timings.suspicion().toMillis();
    return deaf * 2 > hosts.size() || (silentInLog && !heardByOthers);
  }

  private void claim() {
    claiming = true;
    vacantSinceMillis = Optional.empty();
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
