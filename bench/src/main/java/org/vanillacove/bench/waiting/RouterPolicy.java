package org.vanillacove.bench.waiting;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.routing.Admission;
import org.vanillacove.coordination.routing.BackendOccupancy;
import org.vanillacove.coordination.routing.RequestOutcome;
import org.vanillacove.coordination.routing.RequestRouter;
import org.vanillacove.coordination.routing.RoutedRequest;
import org.vanillacove.coordination.routing.SlotTiming;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RoutingSettings;

/** Routes requests with a {@link RequestRouter} on each entry host. */
final class RouterPolicy implements Policy {
  /** Clock of the simulation. */
  private final ManualTimerService timer;

  /** Backend servers that run the requests. */
  private final Fleet fleet;

  /** Collects the figures of the run. */
  private final Results results;

  /** Routers, by index of the entry host. */
  private final List<RequestRouter> routers = new ArrayList<>();

  RouterPolicy(ManualTimerService timer, Fleet fleet, int hosts, Results results) {
    this.timer = timer;
    this.fleet = fleet;
    this.results = results;
    MemoryPeerNetwork network =
        new MemoryPeerNetwork(
            timer, (from, to) -> NetworkLatency.oneWayMillis(indexOf(from), indexOf(to)));
    List<HostSpec> specs = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      specs.add(new HostSpec("e" + i, "127.0.0.1:" + i, Fleet.zoneOf(i)));
    }
    BackendOccupancy occupancy =
        backend ->
            CompletableFuture.completedFuture(
                OptionalInt.of(fleet.server(indexOf(backend.id())).running()));
    for (HostSpec spec : specs) {
      routers.add(
          new RequestRouter(
              new StaticMembership(spec, specs),
              network.link(spec.id()),
              timer,
              () -> RoutingSettings.DEFAULTS,
              fleet::listed,
              occupancy,
              SlotTiming.DEFAULTS,
              new SimpleMeterRegistry()));
    }
  }

  @Override
  public void arrive(Arrival arrival) {
    RequestRouter router = routers.get(arrival.host());
    RoutedRequest request =
        new RoutedRequest(
            "r" + arrival.number(),
            arrival.guest(),
            arrival.requestClass(),
            arrival.idempotent(),
            timer.monotonicMillis() + RoutingSettings.DEFAULTS.defaultDeadlineMillis(),
            Set.of());
    router
        .admit(request)
        .thenAccept(
            admission -> {
              switch (admission) {
                case Admission.Refused refused -> results.refused(arrival);
                case Admission.Granted granted -> send(router, arrival, request, granted);
              }
            });
  }

  private void send(
      RequestRouter router, Arrival arrival, RoutedRequest request, Admission.Granted granted) {
    int backend = indexOf(granted.hold().backendId());
    results.recordRun(arrival, backend);
    long way = NetworkLatency.oneWayMillis(arrival.host(), backend);
    long sent = timer.monotonicMillis();
    timer.after(
        Duration.ofMillis(way),
        () ->
            fleet
                .server(backend)
                .submit(
                    arrival,
                    (success, served) ->
                        timer.after(
                            Duration.ofMillis(way),
                            () -> {
                              long now = timer.monotonicMillis();
                              results.recordAnswer(arrival, success, now);
                              int status = success ? 200 : 500;
                              router.finish(
                                  granted.hold(),
                                  request,
                                  new RequestOutcome.Answered(status),
                                  now - sent);
                            })));
  }

  private static int indexOf(String id) {
    return Integer.parseInt(id.substring(1));
  }
}
