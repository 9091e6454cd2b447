package org.vanillacove.bench.route;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.sun.management.OperatingSystemMXBean;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.vanillacove.bench.Bench;
import org.vanillacove.bench.waiting.SettledMembership;
import org.vanillacove.coordination.routing.Admission;
import org.vanillacove.coordination.routing.RequestClass;
import org.vanillacove.coordination.routing.RequestKeyRegister;
import org.vanillacove.coordination.routing.RequestOutcome;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.coordination.routing.RoutedRequest;
import org.vanillacove.coordination.routing.SlotTiming;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.standin.backend.BackendServer;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.transport.guest.BackendClient;
import org.vanillacove.transport.guest.GuestLimits;
import org.vanillacove.transport.guest.GuestServer;

/** Measures one entry host against direct calls to the same backend servers in the same run. */
public final class RouteBench implements Bench {
  /** Decisions timed. */
  private static final int DECISIONS = 50_000;

  /** Decisions before timing starts. */
  private static final int DECISION_WARM_UP = 20_000;

  /** Backend servers in the timing of decisions. */
  private static final int LISTED_BACKENDS = 30;

  /** Backend servers over sockets. */
  private static final int BACKENDS = 4;

  /** Requests in flight. */
  private static final int IN_FLIGHT = 24;

  /** Requests timed over sockets in each round. */
  private static final int REQUESTS = 15_000;

  /** Requests of a round that only warms up. */
  private static final int WARM_UP = 10_000;

  /** Zone of everything. */
  private static final AvailabilityZone ZONE = new AvailabilityZone("attica", "attica-a");

  /** The only entry host. */
  private static final HostSpec HOST = new HostSpec("e1", "127.0.0.1:1", ZONE);

  /** Times that let the host take its tokens soon. */
  private static final SlotTiming TIMING = new SlotTiming(50, 50);

  @Override
  public Map<String, Object> run(long seed) throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("decision_us_p99", decisionMicros());
    figures.putAll(throughSockets());
    return figures;
  }

  private static double decisionMicros() {
    ManualTimerService timer = new ManualTimerService(0);
    List<ListedHost> listed = new ArrayList<>();
    for (int i = 0; i < LISTED_BACKENDS; i++) {
      listed.add(new ListedHost("b" + i, ListedHost.Role.BACKEND, "127.0.0.1:" + i, ZONE, false));
    }
    RequestRouter router =
        new RequestRouter(
            new SettledMembership(HOST, List.of(HOST)),
            new MemoryPeerNetwork(timer, (from, to) -> 0).link(HOST.id()),
            timer,
            () -> RoutingSettings.DEFAULTS,
            () -> listed,
            backend -> CompletableFuture.completedFuture(OptionalInt.of(0)),
            TIMING,
            new SimpleMeterRegistry());
    timer.advance(1_000);
    Histogram nanos = new Histogram(3);
    for (int i = 0; i < DECISION_WARM_UP + DECISIONS; i++) {
      RoutedRequest request =
          new RoutedRequest("r" + i, "g" + i % 7, RequestClass.QUICK, true, 1_000_000, Set.of());
      long start = System.nanoTime();
      CompletableFuture<Admission> admission = router.admit(request);
      long spent = System.nanoTime() - start;
      if (i >= DECISION_WARM_UP) {
        nanos.recordValue(spent);
      }
      Admission.Granted granted = (Admission.Granted) admission.join();
      router.finish(granted.hold(), request, new RequestOutcome.Answered(200), 10);
    }
    return nanos.getValueAtPercentile(99) / 1_000.0;
  }

  private static Map<String, Object> throughSockets() throws InterruptedException {
    SteadyTimerService timer = new SteadyTimerService();
    List<BackendServer> backends = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      backends.add(new BackendServer("b" + i, ZONE, RoutingSettings.DEFAULTS.slotsPerBackend()));
    }
    BackendClient client = new BackendClient(GuestLimits.DEFAULTS, SessionProtocol.HTTP);
    MemoryPeerNetwork network = new MemoryPeerNetwork(timer, (from, to) -> 0);
    SettledMembership membership = new SettledMembership(HOST, List.of(HOST));
    RequestRouter router =
        new RequestRouter(
            membership,
            network.link(HOST.id()),
            timer,
            () -> RoutingSettings.DEFAULTS,
            () -> backends.stream().map(BackendServer::listed).toList(),
            client,
            TIMING,
            new SimpleMeterRegistry());
    GuestServer guests =
        new GuestServer(
            router,
            new RequestKeyRegister(membership, network.link("keys"), timer),
            client,
            timer,
            GuestLimits.DEFAULTS,
            () -> RoutingSettings.DEFAULTS.defaultDeadlineMillis());
    ServerBuilder builder = Server.builder();
    builder.http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    guests.configure(builder);
    Server server = builder.build();
    server.start().join();
    timer.sleep(Duration.ofSeconds(1));
    List<WebClient> direct =
        backends.stream().map(each -> caller(each.listed().address())).toList();
    List<WebClient> routed = List.of(caller("127.0.0.1:" + server.activeLocalPort()));
    load(direct, WARM_UP);
    load(routed, WARM_UP);
    Load before = load(direct, REQUESTS);
    Load through = load(routed, REQUESTS);
    router.close();
    timer.close();
    return figures(before, through);
  }

  private static Map<String, Object> figures(Load direct, Load routed) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("requests_per_s", Math.round(routed.perSecond()));
    figures.put("direct_requests_per_s", Math.round(direct.perSecond()));
    figures.put("added_p50_ms", routed.millisAt(50) - direct.millisAt(50));
    figures.put("added_p99_ms", routed.millisAt(99) - direct.millisAt(99));
    figures.put("direct_p99_ms", direct.millisAt(99));
    figures.put("cpu_us_per_request", routed.cpuMicros() - direct.cpuMicros());
    figures.put("failed", routed.failed() + direct.failed());
    return figures;
  }

  private static WebClient caller(String address) {
    return WebClient.builder("http://" + address).factory(ClientFactory.ofDefault()).build();
  }

  private static Load load(List<WebClient> callers, int requests) throws InterruptedException {
    ConcurrentHistogram micros = new ConcurrentHistogram(3);
    AtomicInteger left = new AtomicInteger(requests);
    AtomicInteger failed = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(IN_FLIGHT);
    long cpu = cpuNanos();
    long start = System.nanoTime();
    for (int i = 0; i < IN_FLIGHT; i++) {
      next(callers.get(i % callers.size()), left, micros, failed, done);
    }
    done.await();
    double seconds = (System.nanoTime() - start) / 1e9;
    double cpuMicros = (cpuNanos() - cpu) / 1e3 / requests;
    return new Load(micros, requests / seconds, cpuMicros, failed.get());
  }

  private static void next(
      WebClient caller,
      AtomicInteger left,
      Histogram micros,
      AtomicInteger failed,
      CountDownLatch done) {
    if (left.getAndDecrement() <= 0) {
      done.countDown();
      return;
    }
    long start = System.nanoTime();
    caller
        .get("/work?bytes=512")
        .aggregate()
        .whenComplete(
            (answer, error) -> {
              micros.recordValue((System.nanoTime() - start) / 1_000);
              boolean good = error == null && answer.status().code() == 200;
              failed.addAndGet(good ? 0 : 1);
              next(caller, left, micros, failed, done);
            });
  }

  private static long cpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /**
   * A round of requests.
   *
   * @param micros times in microseconds
   * @param perSecond requests per second
   * @param cpuMicros processor time of the whole process for each request, in microseconds
   * @param failed requests without a good answer
   */
  private record Load(Histogram micros, double perSecond, double cpuMicros, int failed) {
    private double millisAt(double percentile) {
      return micros.getValueAtPercentile(percentile) / 1_000.0;
    }
  }
}
