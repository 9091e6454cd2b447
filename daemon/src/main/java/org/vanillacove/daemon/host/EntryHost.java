package org.vanillacove.daemon.host;

import com.google.common.flogger.FluentLogger;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.coordination.configuration.ConfigurationService;
import org.vanillacove.coordination.operator.OperatorChannel;
import org.vanillacove.coordination.routing.IdempotencyKeyRegister;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.coordination.timeline.RingTimelineRecorder;
import org.vanillacove.coordination.timeline.TimelineService;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.configuration.FleetDefaults;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.settings.DaemonSettings;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.state.placement.PolicyPlacer;
import org.vanillacove.transport.guest.BackendClient;
import org.vanillacove.transport.guest.GuestLimits;
import org.vanillacove.transport.guest.GuestServer;
import org.vanillacove.transport.operator.OperatorDependencies;
import org.vanillacove.transport.operator.OperatorService;
import org.vanillacove.transport.operator.access.TokenAuthority;
import org.vanillacove.transport.peer.NettyPeerLink;
import org.vanillacove.transport.peer.PeerLinkSettings;
import org.vanillacove.transport.platform.HttpHostList;
import org.vanillacove.transport.platform.HttpPlatformLog;
import org.vanillacove.transport.platform.HttpWorkerGateway;
import org.vanillacove.transport.platform.PlatformClient;

/** An entry host: creates, starts and stops the components of one daemon process. */
public final class EntryHost implements AutoCloseable {
  /** Logger of startup and shutdown. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Timeout of a call to the platform or to a worker. */
  private static final Duration PLATFORM_DEADLINE = Duration.ofSeconds(2);

  /** Interval at which the configuration is applied again, because exceptions expire. */
  private static final Duration CONFIGURATION_PERIOD = Duration.ofSeconds(1);

  /** Settings from which the host was created. */
  private final DaemonSettings settings;

  /** Clock and timers of all components. */
  private final ScheduledTimerService timer = new ScheduledTimerService();

  /** Registry of the metrics that the operators' port exports. */
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Components to close at shutdown, the latest created first. */
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** This host's member of the cell, which holds the replicated state. */
  private final CellNode node;

  /** Records the events of the timeline. */
  private final RingTimelineRecorder recorder;

  /** Reads and changes the configuration in force. */
  private final ConfigurationService configuration;

  /** Selects the backend server and the slot of each guest request. */
  private final RequestRouter router;

  /** Handles the requests at the guests' port. */
  private final GuestServer guestServer;

  /** HTTP server that listens on the guests' port. */
  private final Server guestHttp;

  /** HTTP server that listens on the operators' port. */
  private final Server operatorHttp;

  /** Whether a shutdown has started. */
  private final AtomicBoolean draining = new AtomicBoolean();

  /** Placement settings last applied to the node. */
  private PlacementSettings appliedPlacement = PlacementSettings.DEFAULTS;

  /**
   * Creates the components; the host joins the cell and opens its ports in {@link #start}.
   *
   * @throws HostStartException if a key file cannot be read or an address cannot be used
   */
  public EntryHost(DaemonSettings settings) throws HostStartException {
    this.settings = settings;
    closeOnShutdown(timer);
    HostTls tls = HostTls.of(settings.tls(), timer);
    closeOnShutdown(tls);
    recorder = new RingTimelineRecorder(settings.hostId(), timer, FleetDefaults.TIMELINE_EVENTS);
    PeerLink link = openLink(tls);
    PlatformClient platform = platformClient(settings.platform().log());
    PlatformClient hosts = platformClient(settings.platform().hostList());
    PlatformClient workers = platformClient(settings.platform().workerList());
    HttpHostList hostList = new HttpHostList(hosts);
    HttpWorkerGateway gateway = closeOnShutdown(new HttpWorkerGateway(workers, PLATFORM_DEADLINE));
    node =
        closeOnShutdown(
            new CellNode(
                settings.host(),
                settings.seeds(),
                new HttpPlatformLog(platform),
                gateway,
                hostList,
                link,
                timer,
                recorder,
                PolicyPlacer::new,
                TimingMapper.cellTimings(settings.timings())));
    CellMetrics.register(node, meters);
    OperatorChannel channel = new OperatorChannel(link, node);
    configuration = new ConfigurationService(node, node, channel, settings.hostId(), timer);
    BackendListPoller backends =
        closeOnShutdown(
            new BackendListPoller(
                hostList, timer, Duration.ofMillis(settings.timings().pollMillis())));
    BackendClient client =
        closeOnShutdown(new BackendClient(GuestLimits.DEFAULTS, SessionProtocol.H2C));
    router =
        new RequestRouter(
            node,
            link,
            timer,
            this::routing,
            backends,
            client,
            TimingMapper.slotTiming(settings.timings()),
            meters);
    guestServer =
        new GuestServer(
            router,
            new IdempotencyKeyRegister(node, link, timer),
            client,
            timer,
            GuestLimits.DEFAULTS,
            () -> routing().defaultDeadlineMillis());
    guestHttp = guestHttp(tls);
    operatorHttp = operatorHttp(tls, new TimelineService(recorder, channel), timer);
  }

  /**
   * Joins the cell and opens the ports.
   *
   * @throws HostStartException if an address cannot be used
   */
  public void start() throws HostStartException {
    node.onConfiguration(version -> applyConfiguration());
    timer.every(CONFIGURATION_PERIOD, this::applyConfiguration);
    node.start();
    startServer(operatorHttp, "listen.operator");
    startServer(guestHttp, "listen.guest");
    LOG.atInfo().log(
        "host: %s is listening, operators %s, guests %s",
        settings.hostId(), settings.listen().operator(), settings.listen().guest());
  }

  /** Returns whether this host is caught up, holds a host lease and isn't shutting down. */
  public boolean isReady() {
    return !draining.get() && node.isCaughtUp() && node.hasHostLease();
  }

  /** Returns this host's member of the cell. */
  public CellNode node() {
    return node;
  }

  /** Returns the router of guest requests. */
  public RequestRouter router() {
    return router;
  }

  /**
   * Shuts down gracefully: requests in progress complete before the host leaves the cell. The
   * shutdown is cut short after the drain time of the settings.
   */
  public CompletableFuture<Void> drain() {
    if (!draining.compareAndSet(false, true)) {
      return CompletableFuture.completedFuture(null);
    }
    LOG.atInfo().log("host: %s is shutting down", settings.hostId());
    return guestServer
        .drain(guestHttp::stop)
        .thenCompose(drained -> node.leave())
        .thenCompose(left -> operatorHttp.stop())
        .orTimeout(settings.timings().drainMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(this::logIncompleteDrain)
        .thenRun(this::closeResources);
  }

  /** Stops immediately without leaving the cell, as a crash does. */
  @Override
  public void close() {
    draining.set(true);
    node.close();
    guestHttp.closeAsync();
    operatorHttp.closeAsync();
    closeResources();
  }

  private Void logIncompleteDrain(Throwable error) {
    LOG.atWarning().log("host: %s did not shut down gracefully: %s", settings.hostId(), error);
    return null;
  }

  private synchronized void applyConfiguration() {
    recorder.setLimit(configuration.inForce().effective().timelineEvents());
    PlacementSettings current = configuration.inForce().effective().placement();
    if (!current.equals(appliedPlacement)) {
      appliedPlacement = current;
      node.configurePlacement(current);
    }
  }

  private RoutingSettings routing() {
    return configuration.inForce().effective().routing(settings.zone().region());
  }

  private PeerLink openLink(HostTls tls) throws HostStartException {
    PeerLinkSettings link = PeerLinkSettings.of(settings.hostId(), settings.listen().peer());
    try {
      return closeOnShutdown(
          tls.peer()
              .map(keys -> new NettyPeerLink(link, timer, meters, SecureRandom::new, keys))
              .orElseGet(() -> new NettyPeerLink(link, timer, meters, SecureRandom::new)));
    } catch (RuntimeException e) {
      closeResources();
      throw new HostStartException("listen.peer", settings.listen().peer(), e);
    }
  }

  private PlatformClient platformClient(String address) {
    return closeOnShutdown(new PlatformClient(address, PLATFORM_DEADLINE, timer));
  }

  private Server guestHttp(HostTls tls) throws HostStartException {
    ServerBuilder builder = Server.builder();
    ServerPorts.add(builder, "listen.guest", settings.listen().guest(), tls.guest(), false);
    guestServer.configure(builder);
    return builder.build();
  }

  private Server operatorHttp(HostTls tls, TimelineService timeline, TimerService clock)
      throws HostStartException {
    ServerBuilder builder = Server.builder();
    ServerPorts.addWithRefusal(
        builder, "listen.operator", settings.listen().operator(), tls.operator());
    TokenAuthority authority = new TokenAuthority(settings.tokens(), clock, new SecureRandom());
    OperatorDependencies dependencies =
        new OperatorDependencies(
            node, node, node, configuration, timeline, recorder, meters, authority, this::isReady);
    new OperatorService(dependencies).addTo(builder);
    return builder.build();
  }

  private void startServer(Server server, String field) throws HostStartException {
    try {
      server.start().join();
    } catch (CompletionException e) {
      close();
      throw new HostStartException(field, "cannot listen on this address", e.getCause());
    }
  }

  private <T extends AutoCloseable> T closeOnShutdown(T resource) {
    resources.push(resource);
    return resource;
  }

  private void closeResources() {
    while (!resources.isEmpty()) {
      closeOne(resources.pop());
    }
  }

  private static void closeOne(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      LOG.atWarning().withCause(e).log("host: a component failed to close");
    }
  }
}
