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
import org.apache.commons.math3.stat.descriptive.rank.Median;
import org.vanillacove.bench.Bench;
import org.vanillacove.bench.waiting.StaticMembership;
import org.vanillacove.coordination.routing.Admission;
import org.vanillacove.coordination.routing.IdempotencyKeyRegister;
import org.vanillacove.coordination.routing.RequestClass;
import org.vanillacove.coordination.routing.RequestOutcome;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.coordination.routing.RoutedRequest;
import org.vanillacove.coordination.routing.SlotTiming;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.backend.BackendServer;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.transport.guest.BackendClient;
import org.vanillacove.transport.guest.GuestLimits;
import org.vanillacove.transport.guest.GuestServer;

/** Compares requests through one entry host with direct calls to the same backend servers. */
public final class RouteBench implements Bench {
  /** Number of timed routing decisions. */
  private static final int DECISIONS = 50_000;

  /** Number of routing decisions before timing starts. */
  private static final int DECISION_WARM_UP = 50_000;

  /** Requests per millisecond when added latency is measured, the rate stated in the target. */
  private static final int PACED_PER_MILLI = 5;

  /** Number of requests in a round at that rate. */
  private static final int PACED_REQUESTS = 5_000;

  /** Number of rounds at that rate. */
  private static final int PACED_ROUNDS = 5;

  /** Timed decisions per millisecond of simulated time, the rate stated in the target. */
  private static final int DECISIONS_PER_MILLI = 5;

  /** Number of listed backend servers when decisions are timed. */
  private static final int LISTED_BACKENDS = 30;

  /** Number of real backend servers called over sockets. */
  private static final int BACKENDS = 4;

  /** Number of concurrent requests at full load. */
  private static final int IN_FLIGHT = 24;

  /** Number of requests timed at full load. */
  private static final int REQUESTS = 15_000;

  /** Number of requests at full load before timing starts. */
  private static final int WARM_UP = 30_000;

  /** Deadline of requests in timed decisions in milliseconds, late enough never to pass. */
  private static final long UNREACHED_DEADLINE_MILLIS = 1_000_000;

  /** Availability zone of the entry host and all backend servers. */
  private static final AvailabilityZone ZONE = new AvailabilityZone("attica", "attica-a");

  /** The only entry host. */
  private static final HostSpec HOST = new HostSpec("e1", "127.0.0.1:1", ZONE);

  /** Time for the host to acquire the slot tokens of all backend servers. */
  private static final Duration SETTLE_TIME = Duration.ofSeconds(20);

  /** Time between two polls of the acquired tokens. */
  private static final Duration SETTLE_POLL_INTERVAL = Duration.ofMillis(50);

  @Override
  public Map<String, Object> run(long seed) throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.putAll(measureDecisions());
    figures.putAll(measureOverSockets());
    return figures;
  }

  private static Map<String, Object> measureDecisions() {
    ManualTimerService timer = new ManualTimerService(0);
    List<ListedHost> listed = new ArrayList<>();
    for (int i = 0; i < LISTED_BACKENDS; i++) {
      listed.add(new ListedHost("b" + i, ListedHost.Role.BACKEND, "127.0.0.1:" + i, ZONE, false));
    }
    RequestRouter router =
        new RequestRouter(
            new StaticMembership(HOST, List.of(HOST)),
            new MemoryPeerNetwork(timer, (from, to) -> 0).link(HOST.id()),
            timer,
            () -> RoutingSettings.DEFAULTS,
            () -> listed,
            backend -> CompletableFuture.completedFuture(OptionalInt.of(0)),
            SlotTiming.DEFAULTS,
            new SimpleMeterRegistry());
    timer.advance(SETTLE_TIME.toMillis());
    Histogram nanos = new Histogram(3);
    for (int i = 0; i < DECISION_WARM_UP + DECISIONS; i++) {
      timer.advance(i % DECISIONS_PER_MILLI == 0 ? 1 : 0);
      RoutedRequest request =
          new RoutedRequest(
              "r" + i, "g" + i % 7, RequestClass.QUICK, true, UNREACHED_DEADLINE_MILLIS, Set.of());
      long start = System.nanoTime();
      CompletableFuture<Admission> admission = router.admit(request);
      long spent = System.nanoTime() - start;
      if (i >= DECISION_WARM_UP) {
        nanos.recordValue(spent);
      }
      Admission.Granted granted = (Admission.Granted) admission.join();
      router.finish(granted.hold(), request, new RequestOutcome.Answered(200), 10);
    }
    return Map.of(
        "decision_us_p50", nanos.getValueAtPercentile(50) / 1_000.0,
        "decision_us_p99", nanos.getValueAtPercentile(99) / 1_000.0);
  }

  private static Map<String, Object> measureOverSockets() throws InterruptedException {
    FixedRateTimerService timer = new FixedRateTimerService();
    List<BackendServer> backends = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      backends.add(new BackendServer("b" + i, ZONE, PACED_REQUESTS));
    }
    BackendClient client = new BackendClient(GuestLimits.DEFAULTS, SessionProtocol.HTTP);
    MemoryPeerNetwork network = new MemoryPeerNetwork(timer, (from, to) -> 0);
    StaticMembership membership = new StaticMembership(HOST, List.of(HOST));
    RequestRouter router =
        new RequestRouter(
            membership,
            network.link(HOST.id()),
            timer,
            () -> RoutingSettings.DEFAULTS,
            () -> backends.stream().map(BackendServer::listed).toList(),
            client,
            SlotTiming.DEFAULTS,
            new SimpleMeterRegistry());
    GuestServer guests =
        new GuestServer(
            router,
            new IdempotencyKeyRegister(membership, network.link("keys"), timer),
            client,
            timer,
            GuestLimits.DEFAULTS,
            () -> RoutingSettings.DEFAULTS.defaultDeadlineMillis());
    ServerBuilder builder = Server.builder();
    builder.http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    guests.configure(builder);
    Server server = builder.build();
    server.start().join();
    settle(timer, router, backends);
    List<WebClient> direct =
        backends.stream().map(each -> newClient(each.listed().address(), 1)).toList();
    List<WebClient> routed =
        List.of(newClient("127.0.0.1:" + server.activeLocalPort(), backends.size()));
    sendClosedLoop(direct, WARM_UP);
    sendClosedLoop(routed, WARM_UP);
    LoadResult before = sendClosedLoop(direct, REQUESTS);
    LoadResult through = sendClosedLoop(routed, REQUESTS);
    Map<String, Object> figures = fullLoadFigures(before, through);
    figures.putAll(measureAddedLatency(timer, direct, routed));
    router.close();
    timer.close();
    return figures;
  }

  /** Measures the latency added by routing at the target rate, as the median of all rounds. */
  private static Map<String, Object> measureAddedLatency(
      FixedRateTimerService timer, List<WebClient> direct, List<WebClient> routed)
      throws InterruptedException {
    double[] addedMedian = new double[PACED_ROUNDS];
    double[] addedTail = new double[PACED_ROUNDS];
    double[] directTail = new double[PACED_ROUNDS];
    int failed = 0;
    for (int round = 0; round < PACED_ROUNDS; round++) {
      LoadResult before = sendPaced(timer, direct);
      LoadResult through = sendPaced(timer, routed);
      addedMedian[round] = through.millisAt(50) - before.millisAt(50);
      addedTail[round] = through.millisAt(99) - before.millisAt(99);
      directTail[round] = before.millisAt(99);
      failed += through.failed() + before.failed();
    }
    Median median = new Median();
    return Map.of(
        "added_p50_ms", median.evaluate(addedMedian),
        "added_p99_ms", median.evaluate(addedTail),
        "direct_p99_ms", median.evaluate(directTail),
        "paced_failed", failed);
  }

  private static void settle(
      FixedRateTimerService timer, RequestRouter router, List<BackendServer> backends)
      throws InterruptedException {
    long end = timer.monotonicMillis() + SETTLE_TIME.toMillis();
    while (!backends.stream().allMatch(each -> router.ledger().holdsToken(each.listed().id()))) {
      if (timer.monotonicMillis() > end) {
        throw new IllegalStateException(
            "the host did not acquire the tokens of all backend servers");
      }
      timer.sleep(SETTLE_POLL_INTERVAL);
    }
  }

  private static Map<String, Object> fullLoadFigures(LoadResult direct, LoadResult routed) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("requests_per_s", Math.round(routed.perSecond()));
    figures.put("direct_requests_per_s", Math.round(direct.perSecond()));
    figures.put("full_load_p99_ms", routed.millisAt(99));
    figures.put("cpu_us_per_request", routed.cpuMicros() - direct.cpuMicros());
    figures.put("failed", routed.failed() + direct.failed());
    return figures;
  }

  private static WebClient newClient(String address, int connections) {
    ClientFactory factory =
        ClientFactory.builder().maxNumEventLoopsPerEndpoint(connections).build();
    return WebClient.builder("http://" + address).factory(factory).build();
  }

  private static LoadResult sendClosedLoop(List<WebClient> callers, int requests)
      throws InterruptedException {
    ConcurrentHistogram micros = new ConcurrentHistogram(3);
    AtomicInteger left = new AtomicInteger(requests);
    AtomicInteger failed = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(IN_FLIGHT);
    long cpu = cpuNanos();
    long start = System.nanoTime();
    for (int i = 0; i < IN_FLIGHT; i++) {
      sendNext(callers.get(i % callers.size()), left, micros, failed, done);
    }
    done.await();
    double seconds = (System.nanoTime() - start) / 1e9;
    double cpuMicros = (cpuNanos() - cpu) / 1e3 / requests;
    return new LoadResult(micros, requests / seconds, cpuMicros, failed.get());
  }

  /** Sends requests at the target rate without waiting for earlier answers. */
  private static LoadResult sendPaced(FixedRateTimerService timer, List<WebClient> callers)
      throws InterruptedException {
    ConcurrentHistogram micros = new ConcurrentHistogram(3);
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(PACED_REQUESTS);
    long cpu = cpuNanos();
    long start = System.nanoTime();
    TimerService.Subscription pace =
        timer.every(
            Duration.ofMillis(1),
            () -> {
              for (int i = 0; i < PACED_PER_MILLI; i++) {
                int number = sent.getAndIncrement();
                if (number < PACED_REQUESTS) {
                  WebClient caller = callers.get(number % callers.size());
                  send(caller, micros, failed).whenComplete((end, error) -> done.countDown());
                }
              }
            });
    done.await();
    pace.cancel();
    double seconds = (System.nanoTime() - start) / 1e9;
    double cpuMicros = (cpuNanos() - cpu) / 1e3 / PACED_REQUESTS;
    return new LoadResult(micros, PACED_REQUESTS / seconds, cpuMicros, failed.get());
  }

  private static void sendNext(
      WebClient caller,
      AtomicInteger left,
      Histogram micros,
      AtomicInteger failed,
      CountDownLatch done) {
    if (left.getAndDecrement() <= 0) {
      done.countDown();
      return;
    }
    send(caller, micros, failed)
        .whenComplete((end, error) -> sendNext(caller, left, micros, failed, done));
  }

  private static CompletableFuture<Boolean> send(
      WebClient caller, Histogram micros, AtomicInteger failed) {
    long start = System.nanoTime();
    return caller
        .get("/work?bytes=512")
        .aggregate()
        .handle(
            (answer, error) -> {
              micros.recordValue((System.nanoTime() - start) / 1_000);
              boolean good = error == null && answer.status().code() == 200;
              failed.addAndGet(good ? 0 : 1);
              return good;
            });
  }

  private static long cpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /**
   * Figures of a round of requests.
   *
   * @param micros times from request to answer in microseconds
   * @param perSecond requests per second
   * @param cpuMicros processor time of the whole process per request, in microseconds
   * @param failed number of requests not answered with status 200
   */
  private record LoadResult(Histogram micros, double perSecond, double cpuMicros, int failed) {
    private double millisAt(double percentile) {
      return micros.getValueAtPercentile(percentile) / 1_000.0;
    }
  }
}
