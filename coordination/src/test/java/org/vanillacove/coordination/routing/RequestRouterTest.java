package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RoutingSettings;

/** Tests {@link RequestRouter} on two entry hosts of a region and one of another, 1 ms apart. */
class RequestRouterTest {
  private static final AvailabilityZone ZONE = new AvailabilityZone("attica", "attica-a");
  private static final AvailabilityZone FAR_ZONE = new AvailabilityZone("thessaly", "thessaly-a");
  private final ManualTimerService timer = new ManualTimerService(0);
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(timer, (from, to) -> 1);
  private final ListedHost backend =
      new ListedHost("b", ListedHost.Role.BACKEND, "127.0.0.1:9", ZONE, false);
  private final List<HostSpec> specs =
      List.of(
          new HostSpec("e0", "127.0.0.1:1", ZONE),
          new HostSpec("e1", "127.0.0.1:2", ZONE),
          new HostSpec("e2", "127.0.0.1:3", FAR_ZONE));
  private final Map<String, RequestRouter> routers = new HashMap<>();

  RequestRouterTest() {
    specs.forEach(spec -> routers.put(spec.id(), router(spec)));
    timer.advance(1_000);
  }

  @ParameterizedTest
  @EnumSource(RequestClass.class)
  void freeSlotIsLentImmediatelyToEveryClass(RequestClass requestClass) {
    CompletableFuture<Admission> admission = borrower().admit(request("r", requestClass));

    timer.advance(2);

    assertThat(admission).isCompletedWithValueMatching(this::isGranted);
  }

  @Test
  void borrowerUsesAllSlotsOfPeer() {
    List<CompletableFuture<Admission>> admissions = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      admissions.add(borrower().admit(request("r" + i, RequestClass.HEAVY)));
    }

    timer.advance(16);

    assertThat(admissions).allMatch(CompletableFuture::isDone);
  }

  @Test
  void longRequestsAreAdmittedAfterShortOnesOfTheirClass() {
    run(holder(), "short", 1);
    timer.advance(10);
    List<CompletableFuture<Admission>> admissions = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      admissions.add(run(holder(), "long" + i, 1_500));
    }

    timer.advance(7_500);

    assertThat(admissions)
        .allSatisfy(each -> assertThat(each).isCompletedWithValueMatching(this::isGranted));
  }

  @Test
  void onlyHeavyRequestsCrossRegionsWithoutWaiting() {
    RequestRouter far = routers.get("e2");
    CompletableFuture<Admission> quick = far.admit(request("quick", RequestClass.QUICK));
    CompletableFuture<Admission> middle = far.admit(request("middle", RequestClass.MIDDLE));
    timer.advance(100);
    CompletableFuture<Admission> heavy = far.admit(request("heavy", RequestClass.HEAVY));

    timer.advance(10);
    assertThat(heavy).isCompletedWithValueMatching(this::isGranted);
    assertThat(quick).isNotDone();
    assertThat(middle).isNotDone();

    timer.advance(150);
    assertThat(quick).isCompletedWithValueMatching(this::isGranted);
    assertThat(middle).isCompletedWithValueMatching(this::isGranted);
  }

  private boolean isGranted(Admission admission) {
    return admission instanceof Admission.Granted;
  }

  private CompletableFuture<Admission> run(RequestRouter router, String id, long millis) {
    RoutedRequest request = request(id, RequestClass.MIDDLE);
    CompletableFuture<Admission> admission = router.admit(request);
    admission.thenAccept(
        admitted -> {
          if (admitted instanceof Admission.Granted granted) {
            RequestOutcome outcome = new RequestOutcome.Answered(200);
            timer.after(
                Duration.ofMillis(millis),
                () -> router.finish(granted.hold(), request, outcome, millis));
          }
        });
    return admission;
  }

  private RequestRouter holder() {
    return routers.values().stream()
        .filter(router -> router.ledger().holdsToken("b"))
        .findFirst()
        .orElseThrow();
  }

  private RequestRouter borrower() {
    return holder() == routers.get("e0") ? routers.get("e1") : routers.get("e0");
  }

  private RoutedRequest request(String id, RequestClass requestClass) {
    long deadline = timer.monotonicMillis() + 20_000;
    return new RoutedRequest(id, "guest", requestClass, true, deadline, Set.of());
  }

  private RequestRouter router(HostSpec spec) {
    return new RequestRouter(
        new StubMembership(spec, specs),
        network.link(spec.id()),
        timer,
        () -> RoutingSettings.DEFAULTS,
        () -> List.of(backend),
        asked -> CompletableFuture.completedFuture(OptionalInt.of(0)),
        new SlotTiming(300, 50),
        new SimpleMeterRegistry());
  }
}
