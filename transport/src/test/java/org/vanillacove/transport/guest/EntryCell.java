package org.vanillacove.transport.guest;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.awaitility.Awaitility;
import org.vanillacove.coordination.routing.IdempotencyKeyRegister;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.coordination.routing.SlotTiming;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RoutingSettings;

/** Entry hosts that serve HTTP over sockets and reach each other over an in-memory network. */
final class EntryCell implements AutoCloseable {
  static final AvailabilityZone ZONE = new AvailabilityZone("attica", "attica-a");
  static final RoutingSettings SETTINGS = new RoutingSettings(8, 64, 2_000, 5_000, 10, 150, 1_000);

  /** The margin exceeds pauses under load, which would otherwise make hosts lose their tokens. */
  static final SlotTiming TIMING = new SlotTiming(100, 400);

  private final SystemTimerService timer = new SystemTimerService();
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(timer, (from, to) -> 0);
  private final ClientFactory guests = ClientFactory.builder().build();
  private final List<Supplier<ListedHost>> backends = new CopyOnWriteArrayList<>();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final GuestLimits limits;

  EntryCell(int count, SessionProtocol protocol, List<Supplier<ListedHost>> backends) {
    this(count, protocol, backends, GuestLimits.DEFAULTS);
  }

  EntryCell(
      int count,
      SessionProtocol protocol,
      List<Supplier<ListedHost>> backends,
      GuestLimits limits) {
    this.limits = limits;
    this.backends.addAll(backends);
    List<HostSpec> specs = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      specs.add(new HostSpec("e" + i, "127.0.0.1:" + i, ZONE));
    }
    specs.forEach(spec -> hosts.put(spec.id(), new Host(spec, specs, protocol)));
    Awaitility.await()
        .until(
            () ->
                backends.stream()
                    .map(Supplier::get)
                    .allMatch(each -> hosts.values().stream().anyMatch(h -> h.holds(each))));
  }

  /** An entry host and a client that sends guest requests to it. */
  final class Host {
    final FixedMembership membership;
    final RequestRouter router;
    final GuestServer guest;
    final Server server;
    final WebClient caller;
    private final BackendClient client;

    private Host(HostSpec spec, List<HostSpec> all, SessionProtocol protocol) {
      membership = new FixedMembership(spec, all);
      client = new BackendClient(limits, protocol);
      PeerLink link = network.link(spec.id());
      router =
          new RequestRouter(
              membership,
              link,
              timer,
              () -> SETTINGS,
              () -> backends.stream().map(Supplier::get).toList(),
              client,
              TIMING,
              new SimpleMeterRegistry());
      IdempotencyKeyRegister keys = new IdempotencyKeyRegister(membership, link, timer);
      guest =
          new GuestServer(
              router, keys, client, timer, limits, () -> SETTINGS.defaultDeadlineMillis());
      ServerBuilder builder = Server.builder();
      builder.http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      guest.configure(builder);
      server = builder.build();
      server.start().join();
      caller =
          WebClient.builder("http://127.0.0.1:" + server.activeLocalPort())
              .factory(guests)
              .responseTimeoutMillis(20_000)
              .maxResponseLength(0)
              .build();
    }

    boolean holds(ListedHost backend) {
      return router.ledger().holdsToken(backend.id());
    }

    CompletableFuture<AggregatedHttpResponse> get(String path, String... headers) {
      return send(HttpMethod.GET, path, "", headers);
    }

    CompletableFuture<AggregatedHttpResponse> post(String path, String body, String... headers) {
      return send(HttpMethod.POST, path, body, headers);
    }

    private CompletableFuture<AggregatedHttpResponse> send(
        HttpMethod method, String path, String body, String... headers) {
      RequestHeadersBuilder builder = RequestHeaders.builder(method, path);
      for (int i = 0; i < headers.length; i += 2) {
        builder.set(headers[i], headers[i + 1]);
      }
      return caller.execute(builder.build(), body.getBytes(StandardCharsets.UTF_8)).aggregate();
    }

    /** Stops without draining, like a killed process. */
    void kill() {
      network.remove(membership.self().id());
      router.close();
      membership.setHostLease(false);
      client.close();
    }
  }

  Host host(int number) {
    return hosts.get("e" + number);
  }

  List<Host> hosts() {
    return List.copyOf(hosts.values());
  }

  MemoryPeerNetwork network() {
    return network;
  }

  void addBackend(Supplier<ListedHost> backend) {
    backends.add(backend);
  }

  @Override
  public void close() {
    guests.close();
    hosts.values().forEach(host -> host.server.closeAsync());
    hosts.values().forEach(host -> host.router.close());
    hosts.values().forEach(host -> host.client.close());
    timer.close();
  }
}
