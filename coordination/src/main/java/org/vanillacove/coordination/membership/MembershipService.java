package org.vanillacove.coordination.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.session.PlanStamp;
import org.vanillacove.coordination.session.PlanStore;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.coordination.stream.StreamReader;
import org.vanillacove.coordination.stream.StreamWriter;
import org.vanillacove.protocol.generated.HeartbeatMessage;
import org.vanillacove.protocol.generated.MembershipMessage;
import org.vanillacove.protocol.generated.StandingRequestMessage;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.HostList;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.cell.CellState;

/** Sends heartbeats to the other hosts, joins the agreed membership and suspects silent hosts. */
public final class MembershipService {
  /** Rounds of upkeep between two fetches of the platform's host list. */
  private static final int HOST_LIST_ROUNDS = 10;

  /** This host. */
  private final HostSpec self;

  /** Hosts known from the settings. */
  private final List<HostSpec> seeds;

  /** Messages between hosts. */
  private final PeerLink link;

  /** The platform's lagging list of hosts. */
  private final HostList hostList;

  /** Source of time. */
  private final TimerService timer;

  /** Times that are kept. */
  private final CellTimings timings;

  /** The folded state. */
  private final CellStore store;

  /** The tail of the stream. */
  private final StreamReader reader;

  /** Takes the record of joining. */
  private final StreamWriter writer;

  /** The newest plan. */
  private final PlanStore plans;

  /** Newest heartbeats. */
  private final PeerTable peers;

  /** Those told of changes. */
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  /** Serialises the state below. */
  private final EventShard shard = new EventShard();

  /** Addresses of hosts that the platform lists, by host. */
  private Map<String, String> listed = Map.of();

  /** Addresses last given to the link, by host. */
  private Map<String, String> addresses = Map.of();

  /** Timers to be cancelled at the end. */
  private final List<TimerService.Subscription> subscriptions = new ArrayList<>();

  /** What listeners were told last. */
  private String told = "";

  /** Answers standing requests. */
  private StandingVoter voter = (from, request) -> Optional.empty();

  /** Whether a record of joining is under way. */
  private boolean joining;

  /** Rounds of upkeep so far. */
  private int rounds;

  /** Whether this host is leaving. */
  private volatile boolean leaving;

  /** Creates the service; it does nothing before {@link #start}. */
  public MembershipService(
      HostSpec self,
      List<HostSpec> seeds,
      PeerLink link,
      HostList hostList,
      TimerService timer,
      CellTimings timings,
      StreamReader reader,
      StreamWriter writer,
      CellStore store,
      PlanStore plans,
      PeerTable peers) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.link = link;
    this.hostList = hostList;
    this.timer = timer;
    this.timings = timings;
    this.reader = reader;
    this.writer = writer;
    this.store = store;
    this.plans = plans;
    this.peers = peers;
  }

  /** Answers a request of another host for standing. */
  @FunctionalInterface
  public interface StandingVoter {
    /** Returns the reply, empty if none is given. */
    Optional<ByteString> vote(String fromHostId, StandingRequestMessage request);
  }

  /** Starts to send heartbeats and to join. */
  public void start(StandingVoter standingVoter) {
    voter = standingVoter;
    link.register(PeerChannel.MEMBERSHIP, this::handle);
    subscriptions.add(timer.every(timings.heartbeat(), () -> shard.execute(this::beat)));
    subscriptions.add(timer.every(timings.upkeep(), () -> shard.execute(this::maintain)));
    shard.execute(this::maintain);
    shard.execute(this::beat);
  }

  /** Stops all work. */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Returns whether direct heartbeats say that a host is alive. */
  public boolean isReachable(String hostId) {
    if (hostId.equals(self.id())) {
      return true;
    }
    long now = timer.monotonicMillis();
    Optional<Long> heard = peers.heardAtMillis(hostId);
    return heard.isPresent() && now - heard.get() <= timings.suspicion().toMillis();
  }

  /** Returns whether a reachable host said that it is leaving. */
  public boolean isLeaving(String hostId) {
    return hostId.equals(self.id())
        ? leaving
        : peers.get(hostId).map(heard -> heard.message().getLeaving()).orElse(false);
  }

  /** Returns whether this host is a member according to the folded state. */
  public boolean isMember() {
    return store.read(state -> state.hosts().contains(self));
  }

  /** Says in heartbeats from now on that this host is leaving. */
  public void setLeaving() {
    leaving = true;
    shard.execute(this::beat);
  }

  /** Returns the configuration version in force on each member that is reachable. */
  public Map<String, Long> versionsInForce() {
    Map<String, Long> versions = new TreeMap<>();
    for (HostSpec host : store.read(CellState::hosts)) {
      if (isReachable(host.id())) {
        peers
            .get(host.id())
            .ifPresent(heard -> versions.put(host.id(), heard.message().getConfigurationVersion()));
      }
    }
    versions.put(self.id(), store.configurationVersion());
    return versions;
  }

  /** Runs {@code listener} after each change of reachability, epoch or membership. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  private void beat() {
    PlanStamp stamp = plans.stamp();
    Optional<String> leader = store.read(CellState::leader);
    HeartbeatMessage heartbeat =
        HeartbeatMessage.newBuilder()
            .setEpoch(stamp.epoch())
            .setPlanVersion(stamp.version())
            .setConfigurationVersion(store.configurationVersion())
            .setHearsLeader(leader.isPresent() && isReachable(leader.get()))
            .setLeaving(leaving)
            .build();
    ByteString bytes =
        MembershipMessage.newBuilder().setHeartbeat(heartbeat).build().toByteString();
    refreshAddresses();
    for (String host : addresses.keySet()) {
      link.send(host, PeerChannel.MEMBERSHIP, bytes);
    }
    tellIfChanged(stamp);
  }

  private void refreshAddresses() {
    Map<String, String> fresh = new HashMap<>(listed);
    seeds.forEach(host -> fresh.put(host.id(), host.peerAddress()));
    store.read(CellState::hosts).forEach(host -> fresh.put(host.id(), host.peerAddress()));
    fresh.remove(self.id());
    if (!fresh.equals(addresses)) {
      addresses = new TreeMap<>(fresh);
      link.setPeers(addresses);
    }
  }

  private void tellIfChanged(PlanStamp stamp) {
    StringBuilder summary = new StringBuilder().append(stamp.epoch());
    for (HostSpec host : store.read(CellState::hosts)) {
      summary.append(' ').append(host.id()).append(isReachable(host.id()));
      summary.append(isLeaving(host.id()));
    }
    if (!told.contentEquals(summary)) {
      told = summary.toString();
      listeners.forEach(Runnable::run);
    }
  }

  private void maintain() {
    if (rounds++ % HOST_LIST_ROUNDS == 0) {
      hostList.fetch().thenAccept(list -> shard.execute(() -> list.ifPresent(this::takeList)));
    }
    boolean caughtUp =
        timer.monotonicMillis() - reader.freshAsOfMillis() <= timings.standing().toMillis();
    if (caughtUp && !joining && !leaving && !isMember()) {
      joining = true;
      writer
          .write(0, new CellRecord.HostJoined(self))
          .thenAccept(result -> shard.execute(() -> joining = false));
    }
  }

  private void takeList(List<ListedHost> list) {
    Map<String, String> fresh = new HashMap<>();
    for (ListedHost host : list) {
      if (host.role() == ListedHost.Role.ENTRY) {
        fresh.put(host.id(), host.address());
      }
    }
    listed = fresh;
  }

  private CompletableFuture<Optional<ByteString>> handle(String from, ByteString payload) {
    Optional<ByteString> reply = Optional.empty();
    try {
      MembershipMessage message = MembershipMessage.parseFrom(payload);
      switch (message.getMessageCase()) {
        case HEARTBEAT -> peers.put(from, timer.monotonicMillis(), message.getHeartbeat());
        case STANDING_REQUEST -> reply = voter.vote(from, message.getStandingRequest());
        case MESSAGE_NOT_SET -> {}
        default -> {}
      }
    } catch (InvalidProtocolBufferException e) {
      reply = Optional.empty();
    }
    return CompletableFuture.completedFuture(reply);
  }
}
