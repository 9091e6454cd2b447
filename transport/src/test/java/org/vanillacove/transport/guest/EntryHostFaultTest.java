package org.vanillacove.transport.guest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillacove.standin.backend.BackendServer;
import org.vanillacove.state.api.HostSpec;

/** Tests entry hosts that stop, are killed or lose their peers, and leaving backend servers. */
class EntryHostFaultTest {
  private final BackendServer first = new BackendServer("b1", EntryCell.ZONE, 8);
  private final BackendServer second = new BackendServer("b2", EntryCell.ZONE, 8);
  private final EntryCell cell =
      new EntryCell(3, SessionProtocol.HTTP, List.of(first::listed, second::listed));

  @AfterEach
  void close() {
    cell.close();
    first.close();
    second.close();
  }

  @Test
  void shutdownUnderLoadCompletesAllRequests() {
    EntryCell.Host leaving = cell.host(1);
    List<CompletableFuture<AggregatedHttpResponse>> answers = requests(leaving, 1_000, 60);
    await()
        .pollDelay(Duration.ZERO)
        .pollInterval(Duration.ofMillis(1))
        .until(() -> leaving.guest.inProgress() > 900);

    CompletableFuture<Void> drained = leaving.guest.drain(leaving.server::stop);

    drained.join();
    assertThat(answers).allMatch(each -> each.join().status().code() == 200);
    assertThat(first.runCount() + second.runCount()).isEqualTo(1_000);
    assertThat(first.rejectedRequests() + second.rejectedRequests()).isZero();
    assertThat(leaving.holds(first.listed()) || leaving.holds(second.listed())).isFalse();
  }

  @Test
  void slotsOfKilledEntryHostAreReusedWithoutOverflow() {
    EntryCell.Host killed = holderOf(first);
    requests(killed, 30, 300);
    await().until(() -> first.running() > 0);

    killed.kill();
    List<HostSpec> left =
        killed.membership.agreedHosts().stream()
            .filter(spec -> !spec.id().equals(killed.membership.self().id()))
            .toList();
    cell.hosts().forEach(host -> host.membership.setHosts(left));

    await().until(() -> holderOf(first) != killed);
    List<CompletableFuture<AggregatedHttpResponse>> answers = requests(holderOf(first), 50, 10);
    assertThat(answers).allMatch(each -> each.join().status().code() == 200);
    assertThat(first.rejectedRequests() + second.rejectedRequests()).isZero();
  }

  @Test
  void tokenMovesWithRequestsInFlightWithoutOverflow() {
    EntryCell.Host holder = holderOf(first);
    List<HostSpec> all = holder.membership.agreedHosts();
    List<HostSpec> without =
        all.stream().filter(spec -> !spec.equals(holder.membership.self())).toList();
    List<CompletableFuture<AggregatedHttpResponse>> answers = requests(holder, 20, 200);
    EntryCell.Host other =
        cell.hosts().stream().filter(host -> host != holder).findFirst().orElseThrow();
    answers.addAll(requests(other, 20, 200));
    await().until(() -> first.running() == 8);

    cell.hosts().forEach(host -> host.membership.setHosts(without));
    await().until(() -> !holder.holds(first.listed()));
    await().until(() -> holderOf(first).holds(first.listed()));
    answers.addAll(requests(other, 20, 50));
    cell.hosts().forEach(host -> host.membership.setHosts(all));
    await().until(() -> holder.holds(first.listed()));

    assertThat(answers).allMatch(each -> each.join().status().code() == 200);
    assertThat(first.runCount() + second.runCount()).isEqualTo(60);
    assertThat(first.rejectedRequests() + second.rejectedRequests()).isZero();
    assertThat(first.maxRunning()).isEqualTo(8);
  }

  @Test
  void executedKeyIsNotRunAgainAfterItsOwnerIsKilled() {
    for (EntryCell.Host owner : cell.hosts()) {
      String[] key = {GuestHeaders.KEY.toString(), "order-" + owner.membership.self().id()};
      cell.host(1).post("/work", "x", key).join();
    }
    int before = first.runCount() + second.runCount();
    EntryCell.Host killed = cell.host(3);
    killed.kill();
    List<HostSpec> left =
        killed.membership.agreedHosts().stream()
            .filter(spec -> !spec.equals(killed.membership.self()))
            .toList();
    cell.hosts().forEach(host -> host.membership.setHosts(left));

    for (EntryCell.Host owner : cell.hosts()) {
      AggregatedHttpResponse again =
          cell.host(2)
              .post(
                  "/work",
                  "x",
                  GuestHeaders.KEY.toString(),
                  "order-" + owner.membership.self().id(),
                  GuestHeaders.REPEATED.toString(),
                  "true")
              .join();
      assertThat(again.status().code()).isEqualTo(409);
      assertThat(again.headers().get(GuestHeaders.OUTCOME)).isEqualTo(GuestHeaders.RUN);
    }
    assertThat(first.runCount() + second.runCount()).isEqualTo(before);
  }

  @Test
  void cutPeerLinksLeaveOwnSlotsUsable() {
    for (EntryCell.Host from : cell.hosts()) {
      for (EntryCell.Host to : cell.hosts()) {
        String source = from.membership.self().id();
        cell.network().setCut(source, to.membership.self().id(), true);
      }
    }

    List<CompletableFuture<AggregatedHttpResponse>> answers = requests(holderOf(first), 50, 10);

    assertThat(answers).allMatch(each -> each.join().status().code() == 200);
    assertThat(first.rejectedRequests() + second.rejectedRequests()).isZero();
  }

  @Test
  void leavingBackendServerGetsNoNewRequestsAfterTwoSeconds() {
    first.setLeaving(true);
    await()
        .atMost(Duration.ofSeconds(2))
        .until(
            () ->
                cell.hosts().stream()
                    .allMatch(
                        host -> host.router.backend("b1").filter(b -> b.leaving()).isPresent()));
    int before = first.runCount();

    cell.hosts().forEach(host -> requests(host, 30, 1).forEach(CompletableFuture::join));

    assertThat(first.runCount()).isEqualTo(before);
    assertThat(second.runCount()).isEqualTo(90);
  }

  @Test
  void keyRunsOnceThroughDifferentEntryHosts() {
    String[] key = {GuestHeaders.KEY.toString(), "order-7"};

    AggregatedHttpResponse one = cell.host(1).post("/work", "x", key).join();
    AggregatedHttpResponse two = cell.host(2).post("/work", "x", key).join();

    assertThat(one.headers().get(GuestHeaders.OUTCOME)).isEqualTo(GuestHeaders.RUN);
    assertThat(two.status().code()).isEqualTo(409);
    assertThat(two.headers().get(GuestHeaders.OUTCOME)).isEqualTo(GuestHeaders.RUN);
    assertThat(first.runCount() + second.runCount()).isEqualTo(1);
  }

  @Test
  void repeatedAttemptWithUnknownKeyDoesNotRun() {
    AggregatedHttpResponse answer =
        cell.host(1)
            .post(
                "/work",
                "x",
                GuestHeaders.KEY.toString(),
                "order-8",
                GuestHeaders.REPEATED.toString(),
                "true")
            .join();

    assertThat(answer.headers().get(GuestHeaders.OUTCOME)).isEqualTo(GuestHeaders.UNKNOWN);
    assertThat(first.runCount() + second.runCount()).isZero();
  }

  private EntryCell.Host holderOf(BackendServer backend) {
    return cell.hosts().stream()
        .filter(host -> host.membership.hasHostLease() && host.holds(backend.listed()))
        .findFirst()
        .orElse(cell.hosts().getFirst());
  }

  private static List<CompletableFuture<AggregatedHttpResponse>> requests(
      EntryCell.Host host, int count, int millis) {
    List<CompletableFuture<AggregatedHttpResponse>> answers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      answers.add(host.post("/work?millis=" + millis, "x"));
    }
    return answers;
  }
}
