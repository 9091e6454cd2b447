package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.RoutingSettings;

/** Tests {@link SlotLedger} through routers of several hosts that share one backend server. */
class SlotLedgerTest {
  private static final AvailabilityZone ZONE = new AvailabilityZone("attica", "attica-a");
  private static final RoutingSettings SETTINGS =
      new RoutingSettings(8, 64, 500, 2_000, 10, 150, 1_000);
  private static final SlotTiming TIMING = new SlotTiming(300, 50);
  private static final int STEPS = 400;

  @Test
  void tokenMovesWithItsLoansWhenNextHolderJoins() {
    SimulatedCluster cluster = new SimulatedCluster(2, 1);
    HostSpec next = RendezvousHashing.rank("b", cluster.specs).getFirst();
    List<HostSpec> othersOnly = cluster.specs.stream().filter(spec -> !spec.equals(next)).toList();
    cluster.hosts.values().forEach(host -> host.membership.setHosts(othersOnly));
    cluster.timer.advance(1_000);
    SimulatedCluster.Host before = cluster.holder();
    for (int i = 0; i < 20; i++) {
      before.request();
    }

    cluster.hosts.values().forEach(host -> host.membership.setHosts(cluster.specs));
    cluster.timer.advance(100);

    assertThat(cluster.holder().id()).isEqualTo(next.id()).isNotEqualTo(before.id());
    assertThat(cluster.holder().router.ledger().used("b")).isBetween(cluster.running, 8);
    assertThat(cluster.peak).isEqualTo(8);
  }

  @Test
  void rejoiningHostRegainsItsTokenEachTime() {
    SimulatedCluster cluster = new SimulatedCluster(3, 1);
    cluster.timer.advance(1_000);
    SimulatedCluster.Host first = cluster.holder();
    List<HostSpec> othersOnly =
        cluster.specs.stream().filter(spec -> !spec.id().equals(first.id())).toList();
    for (int i = 0; i < 3; i++) {
      cluster.hosts.values().forEach(host -> host.membership.setHosts(othersOnly));
      cluster.timer.advance(1_500);
      assertThat(cluster.holder().id()).isNotEqualTo(first.id());

      cluster.hosts.values().forEach(host -> host.membership.setHosts(cluster.specs));
      cluster.timer.advance(1_500);
      assertThat(cluster.holder().id()).isEqualTo(first.id());
    }
  }

  @Test
  void killedHolderIsReplacedAfterItsRequestsEnded() {
    SimulatedCluster cluster = new SimulatedCluster(2, 1);
    cluster.timer.advance(1_000);
    SimulatedCluster.Host killed = cluster.holder();
    killed.kill();
    List<HostSpec> left =
        cluster.specs.stream().filter(spec -> !spec.id().equals(killed.id())).toList();
    cluster.hosts.values().forEach(host -> host.membership.setHosts(left));

    cluster.timer.advance(300);
    assertThat(cluster.hosts.values().stream().anyMatch(SimulatedCluster.Host::holds)).isFalse();
    cluster.timer.advance(500);

    assertThat(cluster.holder().router.ledger().used("b")).isZero();
  }

  @Test
  void hostWithoutLeaseStartsNoRequest() {
    SimulatedCluster cluster = new SimulatedCluster(1, 1);
    cluster.timer.advance(1_000);
    cluster.holder().membership.setHostLeaseHeld(false);

    cluster.addRequests(3);

    assertThat(cluster.running).isZero();
  }

  /**
   * Guards against more requests running than the backend server has slots, when requests,
   * membership changes, network partitions, kills, restarts, pauses and token transfers interleave.
   */
  @Property(tries = 150, seed = "7261")
  void slotsInUseNeverExceedLimit(@ForAll long seed) {
    SimulatedCluster cluster = new SimulatedCluster(4, seed);
    for (int i = 0; i < STEPS; i++) {
      cluster.randomStep();
      assertThat(cluster.running).isLessThanOrEqualTo(8);
    }
  }

  /** Entry hosts, one backend server that counts running requests, and injected faults. */
  private static final class SimulatedCluster {
    private final ManualTimerService timer = new ManualTimerService(0);
    private final Random random;
    private final MemoryPeerNetwork network;
    private final Map<String, Host> hosts = new HashMap<>();
    private final List<HostSpec> specs = new ArrayList<>();
    private Optional<HostSpec> removed = Optional.empty();
    private int running;
    private int peak;
    private int requests;

    SimulatedCluster(int count, long seed) {
      random = new Random(seed);
      network = new MemoryPeerNetwork(timer, (from, to) -> 1 + random.nextInt(20));
      for (int i = 0; i < count; i++) {
        specs.add(new HostSpec("e" + i, "127.0.0.1:" + i, ZONE));
      }
      specs.forEach(spec -> hosts.put(spec.id(), new Host(spec)));
    }

    Host holder() {
      return hosts.values().stream().filter(Host::holds).findFirst().orElseThrow();
    }

    void addRequests(int count) {
      for (int i = 0; i < count; i++) {
        anyHost().request();
      }
    }

    void randomStep() {
      switch (random.nextInt(20)) {
        case 0 -> network.setCut(anyId(), anyId(), true);
        case 1, 2 -> network.setCut(anyId(), anyId(), false);
        case 3 -> timer.advanceWithoutTimers(random.nextInt(200));
        case 4 -> removeHost();
        case 5 -> readdHost();
        case 6 -> {
          if (random.nextInt(10) == 0) {
            restart(anyId());
          }
        }
        case 7 -> {
          if (random.nextInt(10) == 0) {
            anyHost().router.transferTokens();
          }
        }
        default -> addRequests(random.nextInt(4));
      }
      timer.advance(random.nextInt(60));
    }

    /** Removes a host from every membership view at random times; its host lease then expires. */
    private void removeHost() {
      if (removed.isPresent()) {
        return;
      }
      HostSpec out = specs.get(random.nextInt(specs.size()));
      removed = Optional.of(out);
      List<HostSpec> left = specs.stream().filter(spec -> !spec.equals(out)).toList();
      hosts.values().forEach(each -> runWithin(500, () -> each.membership.setHosts(left)));
      runWithin(
          TIMING.hostLeaseMillis(), () -> hosts.get(out.id()).membership.setHostLeaseHeld(false));
    }

    /** Adds the removed host back to every membership view at random times. */
    private void readdHost() {
      removed.ifPresent(
          spec -> {
            hosts.values().forEach(each -> runWithin(500, () -> each.membership.setHosts(specs)));
            runWithin(500, () -> hosts.get(spec.id()).membership.setHostLeaseHeld(true));
            timer.advance(500);
          });
      removed = Optional.empty();
    }

    private void runWithin(long maxDelayMillis, Runnable action) {
      timer.after(Duration.ofMillis(random.nextLong(maxDelayMillis)), action);
    }

    private void restart(String id) {
      Host old = hosts.get(id);
      boolean hostLeaseHeld = old.membership.hasHostLease();
      old.kill();
      Host fresh = new Host(old.membership.self());
      fresh.membership.setHosts(old.membership.agreedHosts());
      fresh.membership.setHostLeaseHeld(hostLeaseHeld);
      hosts.put(id, fresh);
    }

    private String anyId() {
      return specs.get(random.nextInt(specs.size())).id();
    }

    private Host anyHost() {
      return hosts.get(anyId());
    }

    /** An entry host with its router; a killed one stops routing while its requests run on. */
    private final class Host {
      private final StubMembership membership;
      private final RequestRouter router;
      private boolean killed;

      Host(HostSpec spec) {
        membership = new StubMembership(spec, List.copyOf(specs));
        router =
            new RequestRouter(
                membership,
                network.link(spec.id()),
                timer,
                () -> SETTINGS,
                () ->
                    List.of(
                        new ListedHost("b", ListedHost.Role.BACKEND, "127.0.0.1:1", ZONE, false)),
                backend -> CompletableFuture.completedFuture(OptionalInt.of(running)),
                TIMING,
                new SimpleMeterRegistry());
      }

      String id() {
        return membership.self().id();
      }

      boolean holds() {
        return !killed && router.ledger().holdsToken("b");
      }

      void request() {
        if (killed) {
          return;
        }
        RoutedRequest request =
            new RoutedRequest(
                "r" + requests++,
                "g" + random.nextInt(3),
                RequestClass.QUICK,
                true,
                timer.monotonicMillis() + random.nextInt(1, 2_000),
                Set.of());
        router.admit(request).thenAccept(admission -> run(request, admission));
      }

      private void run(RoutedRequest request, Admission admission) {
        if (!(admission instanceof Admission.Granted granted) || killed) {
          return;
        }
        running++;
        peak = Math.max(peak, running);
        long left = Math.max(1, request.deadlineMillis() - timer.monotonicMillis());
        long service = random.nextLong(1, left + 1);
        timer.after(
            Duration.ofMillis(service),
            () -> {
              running--;
              if (!killed) {
                router.finish(granted.hold(), request, new RequestOutcome.Answered(200), service);
              }
            });
      }

      void kill() {
        killed = true;
        membership.setHostLeaseHeld(false);
        router.close();
        network.remove(id());
      }
    }
  }
}
