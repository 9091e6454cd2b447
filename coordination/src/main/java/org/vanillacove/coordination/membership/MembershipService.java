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
import org.vanillacove.coordination.stream.SerialExecutor;
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

/**
 * Sends heartbeats to the other hosts, joins the agreed membership and reports hosts without recent
 * heartbeats as unreachable.
 */
public final class MembershipService {
  /** Maintenance runs per fetch of the platform's host list. */
  private static final int MAINTENANCE_RUNS_PER_LIST_FETCH = 10;

  /** Identifier, peer address and availability zone of this host. */
  private final HostSpec self;

  /** Hosts named in the settings, contacted even before they are members. */
  private final List<HostSpec> seeds;

  /** Sends messages to the other hosts and receives theirs. */
  private final PeerLink link;

  /** The platform's host list, which may be out of date. */
  private final HostList hostList;

  /** Clocks and periodic timers. */
  private final TimerService timer;

  /** Intervals and timeouts of the cell. */
  private final CellTimings timings;

  /** Cell state, with the records of the log applied. */
  private final CellStore store;

  /** Reads the log; knows up to which time its records have been applied. */
  private final StreamReader reader;

  /** Writes the record that adds this host to the membership. */
  private final StreamWriter writer;

  /** Newest session plan that this host knows. */
  private final PlanStore plans;

  /** Newest heartbeat of each other host. */
  private final PeerTable peers;

  /** Run after each change of reachability, epoch or membership. */
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  /** Runs heartbeats and maintenance one at a time; guards the fields below. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Peer addresses of the entry hosts on the platform's list, by host identifier. */
  private Map<String, String> listedAddresses = Map.of();

  /** Peer addresses last passed to the link, by host identifier. */
  private Map<String, String> peerAddresses = Map.of();

  /** Periodic timers, cancelled by {@link #close}. */
  private final List<TimerService.Subscription> subscriptions = new ArrayList<>();

  /** Epoch and state of each member at the last notification; detects changes. */
  private String lastNotifiedSummary = "";

  /** Answers host lease requests; grants nothing before {@link #start}. */
  private HostLeaseVoter voter = (from, request) -> Optional.empty();

  /** Whether the write that adds this host to the membership has no outcome yet. */
  private boolean joining;

  /** Maintenance runs since the start. */
  private int maintenanceRuns;

  /** Whether this host is about to leave the cell; sent with every heartbeat. */
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

  /** Answers requests of other hosts for a host lease. */
  @FunctionalInterface
  public interface HostLeaseVoter {
    /** Returns the encoded reply, empty to send none. */
    Optional<ByteString> vote(String fromHostId, StandingRequestMessage request);
  }

  /** Starts the heartbeats and joins the membership once the log has been read. */
  public void start(HostLeaseVoter hostLeaseVoter) {
    voter = hostLeaseVoter;
    link.register(PeerChannel.MEMBERSHIP, this::handle);
    subscriptions.add(timer.every(timings.heartbeat(), () -> shard.execute(this::sendHeartbeats)));
    subscriptions.add(timer.every(timings.maintenance(), () -> shard.execute(this::maintain)));
    shard.execute(this::maintain);
    shard.execute(this::sendHeartbeats);
  }

  /** Stops the heartbeats and the maintenance. */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    shard.close();
  }

  /** Returns whether a host sent a heartbeat within the suspicion time; true for this host. */
  public boolean isReachable(String hostId) {
    if (hostId.equals(self.id())) {
      return true;
    }
    long now = timer.monotonicMillis();
    Optional<Long> received = peers.lastHeartbeatMillis(hostId);
    return received.isPresent() && now - received.get() <= timings.suspicion().toMillis();
  }

  /** Returns whether a host is leaving, according to its newest heartbeat. */
  public boolean isLeaving(String hostId) {
    return hostId.equals(self.id())
        ? leaving
        : peers.get(hostId).map(newest -> newest.message().getLeaving()).orElse(false);
  }

  /** Returns whether the cell state lists this host as a member. */
  public boolean isMember() {
    return store.read(state -> state.hosts().contains(self));
  }

  /** Announces in all further heartbeats that this host is leaving; sends one at once. */
  public void setLeaving() {
    leaving = true;
    shard.execute(this::sendHeartbeats);
  }

  /** Returns the configuration version in force on each reachable member, by host identifier. */
  public Map<String, Long> versionsInForce() {
    Map<String, Long> versions = new TreeMap<>();
    for (HostSpec host : store.read(CellState::hosts)) {
      if (isReachable(host.id())) {
        peers
            .get(host.id())
            .ifPresent(
                newest -> versions.put(host.id(), newest.message().getConfigurationVersion()));
      }
    }
    versions.put(self.id(), store.configurationVersion());
    return versions;
  }

  /** Runs {@code listener} after each change of reachability, epoch or membership. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  private void sendHeartbeats() {
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
    for (String host : peerAddresses.keySet()) {
      link.send(host, PeerChannel.MEMBERSHIP, bytes);
    }
    notifyIfChanged(stamp);
  }

  private void refreshAddresses() {
    Map<String, String> fresh = new HashMap<>(listedAddresses);
    seeds.forEach(host -> fresh.put(host.id(), host.peerAddress()));
    store.read(CellState::hosts).forEach(host -> fresh.put(host.id(), host.peerAddress()));
    fresh.remove(self.id());
    if (!fresh.equals(peerAddresses)) {
      peerAddresses = new TreeMap<>(fresh);
      link.setPeers(peerAddresses);
    }
  }

  private void notifyIfChanged(PlanStamp stamp) {
    StringBuilder summary = new StringBuilder().append(stamp.epoch());
    for (HostSpec host : store.read(CellState::hosts)) {
      summary.append(' ').append(host.id()).append(isReachable(host.id()));
      summary.append(isLeaving(host.id()));
    }
    if (!lastNotifiedSummary.contentEquals(summary)) {
      lastNotifiedSummary = summary.toString();
      listeners.forEach(Runnable::run);
    }
  }

  private void maintain() {
    if (maintenanceRuns++ % MAINTENANCE_RUNS_PER_LIST_FETCH == 0) {
      hostList
          .fetch()
          .thenAccept(list -> shard.execute(() -> list.ifPresent(this::updateListedHosts)));
    }
    boolean caughtUp =
        timer.monotonicMillis() - reader.freshAsOfMillis() <= timings.hostLease().toMillis();
    if (caughtUp && !joining && !leaving && !isMember()) {
      joining = true;
      writer
          .write(0, new CellRecord.HostJoined(self))
          .thenAccept(result -> shard.execute(() -> joining = false));
    }
  }

  private void updateListedHosts(List<ListedHost> list) {
    Map<String, String> fresh = new HashMap<>();
    for (ListedHost host : list) {
      if (host.role() == ListedHost.Role.ENTRY) {
        fresh.put(host.id(), host.address());
      }
    }
    listedAddresses = fresh;
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
