package org.vanillacove.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.routing.IdempotencyKeyRegister.KeyOutcome;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.HostSpec;

/** Tests {@link IdempotencyKeyRegister} on three hosts, two of which keep the key. */
class RequestKeyRegisterTest {
  private static final String KEY = "order-1";
  private static final AvailabilityZone ZONE = new AvailabilityZone("attica", "attica-a");
  private final ManualTimerService timer = new ManualTimerService(0);
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(timer, (from, to) -> 1);
  private final List<HostSpec> specs =
      List.of(
          new HostSpec("e0", "127.0.0.1:1", ZONE),
          new HostSpec("e1", "127.0.0.1:2", ZONE),
          new HostSpec("e2", "127.0.0.1:3", ZONE));
  private final List<HostSpec> order = RendezvousHashing.rank(KEY, specs);
  private final Map<String, StubMembership> memberships = new HashMap<>();
  private final Map<String, IdempotencyKeyRegister> registers = new HashMap<>();

  RequestKeyRegisterTest() {
    for (HostSpec spec : specs) {
      StubMembership membership = new StubMembership(spec, specs);
      memberships.put(spec.id(), membership);
      registers.put(
          spec.id(), new IdempotencyKeyRegister(membership, network.link(spec.id()), timer));
    }
  }

  @Test
  void onlyFirstAttemptRunsOnWhicheverHost() {
    assertThat(begin(0, "a", false)).isInstanceOf(KeyDecision.First.class);
    assertThat(begin(1, "b", false)).isInstanceOf(KeyDecision.Undecided.class);
    end(0, "a", KeyOutcome.RUN);
    assertThat(begin(2, "c", false)).isInstanceOf(KeyDecision.AlreadyRun.class);
  }

  @Test
  void keyIsReusableAfterAttemptThatDidNotRun() {
    assertThat(begin(2, "a", false)).isInstanceOf(KeyDecision.First.class);
    end(2, "a", KeyOutcome.NOT_RUN);
    assertThat(begin(1, "b", false)).isInstanceOf(KeyDecision.First.class);
  }

  @Test
  void unknownOutcomeBlocksLaterAttempts() {
    begin(0, "a", false);
    end(0, "a", KeyOutcome.UNKNOWN);
    assertThat(begin(1, "b", true)).isInstanceOf(KeyDecision.Undecided.class);
    assertThat(begin(1, "c", false)).isInstanceOf(KeyDecision.Undecided.class);
  }

  @Test
  void secondReplicaAnswersAfterOwnerFailure() {
    begin(2, "a", false);
    end(2, "a", KeyOutcome.RUN);
    network.remove(order.get(0).id());
    assertThat(begin(2, "b", false)).isInstanceOf(KeyDecision.AlreadyRun.class);

    List<HostSpec> left = order.subList(1, 3);
    memberships.values().forEach(membership -> membership.setHosts(left));
    assertThat(begin(2, "c", true)).isInstanceOf(KeyDecision.AlreadyRun.class);
  }

  @Test
  void firstAttemptIsRejectedWhileOwnerIsUnreachable() {
    network.remove(order.get(0).id());
    assertThat(begin(2, "a", false)).isInstanceOf(KeyDecision.Unavailable.class);
  }

  @Test
  void repeatedAttemptWithoutRecordDoesNotRun() {
    assertThat(begin(0, "a", true)).isInstanceOf(KeyDecision.Undecided.class);
    assertThat(begin(0, "b", false)).isInstanceOf(KeyDecision.First.class);
  }

  private KeyDecision begin(int place, String attempt, boolean repeated) {
    CompletableFuture<KeyDecision> verdict =
        registers.get(order.get(place).id()).begin(KEY, attempt, repeated);
    timer.advance(Duration.ofSeconds(2).toMillis());
    assertThat(verdict).isDone();
    return verdict.join();
  }

  private void end(int place, String attempt, KeyOutcome end) {
    registers.get(order.get(place).id()).end(KEY, attempt, end);
    timer.advance(Duration.ofSeconds(1).toMillis());
  }
}
