package org.vanillacove.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.peer.PeerChannel;

/** Tests {@link NettyPeerLink} with several links on the loopback interface. */
class NettyPeerLinkTest {
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final Duration SHORT_DEADLINE = Duration.ofMillis(200);

  private final ScheduledTimerService timer = new ScheduledTimerService();
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final List<NettyPeerLink> links = new ArrayList<>();

  @AfterEach
  void close() {
    links.forEach(NettyPeerLink::close);
    timer.close();
  }

  @Test
  void messagesArriveInOrder() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    List<String> received = new CopyOnWriteArrayList<>();
    second.register(
        PeerChannel.MEMBERSHIP,
        (from, payload) -> {
          received.add(from + ":" + payload.toStringUtf8());
          return CompletableFuture.completedFuture(Optional.empty());
        });
    connect(first, "second", second.port());
    List<String> expected = IntStream.range(0, 500).mapToObj(i -> "first:" + i).toList();
    IntStream.range(0, 500)
        .forEach(i -> first.send("second", PeerChannel.MEMBERSHIP, bytes(String.valueOf(i))));
    await().untilAsserted(() -> assertThat(received).isEqualTo(expected));
  }

  @Test
  void repliesMatchTheirRequests() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    second.register(PeerChannel.SESSION, NettyPeerLinkTest::echo);
    connect(first, "second", second.port());
    List<CompletableFuture<Optional<ByteString>>> calls =
        IntStream.range(0, 200)
            .mapToObj(i -> first.call("second", PeerChannel.SESSION, bytes("call " + i), DEADLINE))
            .toList();
    for (int i = 0; i < calls.size(); i++) {
      assertThat(calls.get(i).join()).contains(bytes("call " + i));
    }
  }

  @Test
  void callToOwnHostIsHandled() {
    NettyPeerLink first = open("first", 0);
    first.register(PeerChannel.PROPOSAL, NettyPeerLinkTest::echo);
    assertThat(first.call("first", PeerChannel.PROPOSAL, bytes("a"), DEADLINE).join())
        .contains(bytes("a"));
  }

  @Test
  void callWithoutConnectionOrHandlerReturnsNoReply() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    assertThat(first.call("second", PeerChannel.SLOT, bytes("a"), DEADLINE).join()).isEmpty();
    connect(first, "second", second.port());
    assertThat(first.call("second", PeerChannel.SLOT, bytes("a"), DEADLINE).join()).isEmpty();
    assertThat(first.call("first", PeerChannel.SLOT, bytes("a"), DEADLINE).join()).isEmpty();
  }

  @Test
  void callReturnsNoReplyAfterItsDeadline() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    second.register(PeerChannel.SLOT, (from, payload) -> new CompletableFuture<>());
    connect(first, "second", second.port());
    assertThat(first.call("second", PeerChannel.SLOT, bytes("a"), SHORT_DEADLINE).join()).isEmpty();
  }

  @Test
  void slowHandlerDoesNotDelayOtherChannels() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    CountDownLatch release = new CountDownLatch(1);
    second.register(
        PeerChannel.OPERATOR,
        (from, payload) -> {
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return echo(from, payload);
        });
    second.register(PeerChannel.SESSION, NettyPeerLinkTest::echo);
    connect(first, "second", second.port());
    CompletableFuture<Optional<ByteString>> slow =
        first.call("second", PeerChannel.OPERATOR, bytes("slow"), DEADLINE);
    assertThat(first.call("second", PeerChannel.SESSION, bytes("quick"), DEADLINE).join())
        .isPresent();
    assertThat(slow).isNotDone();
    release.countDown();
    assertThat(slow.join()).isPresent();
  }

  @Test
  void linkReconnectsToRestartedPeer() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    int port = second.port();
    connect(first, "second", port);
    second.close();
    await().until(() -> !first.isConnected("second"));
    NettyPeerLink restarted = open("second", port);
    restarted.register(PeerChannel.SESSION, NettyPeerLinkTest::echo);
    await().until(() -> first.isConnected("second"));
    assertThat(first.call("second", PeerChannel.SESSION, bytes("a"), DEADLINE).join()).isPresent();
  }

  @Test
  void connectionToAddressOfAnotherHostIsNotUsed() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink third = open("third", 0);
    third.register(PeerChannel.SESSION, NettyPeerLinkTest::echo);
    first.setPeers(Map.of("second", "127.0.0.1:" + third.port(), "third", address(third.port())));
    await().until(() -> first.isConnected("third"));
    assertThat(first.isConnected("second")).isFalse();
  }

  @Test
  void oversizeMessageIsDroppedAndConnectionStaysOpen() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    second.register(PeerChannel.SESSION, NettyPeerLinkTest::echo);
    connect(first, "second", second.port());
    ByteString large = ByteString.copyFrom(new byte[2 << 20]);
    assertThat(first.call("second", PeerChannel.SESSION, large, DEADLINE).join()).isEmpty();
    assertThat(first.call("second", PeerChannel.SESSION, bytes("a"), DEADLINE).join()).isPresent();
  }

  @Test
  void removedPeerIsDisconnected() {
    NettyPeerLink first = open("first", 0);
    NettyPeerLink second = open("second", 0);
    connect(first, "second", second.port());
    first.setPeers(Map.of());
    assertThat(first.isConnected("second")).isFalse();
  }

  private NettyPeerLink open(String hostId, int port) {
    PeerLinkSettings settings =
        new PeerLinkSettings(
            hostId,
            address(port),
            1 << 20,
            256 << 10,
            16 << 10,
            Duration.ofSeconds(5),
            Duration.ofMillis(100),
            Duration.ofMillis(400),
            Duration.ofMillis(10),
            Duration.ofMillis(200));
    NettyPeerLink link = new NettyPeerLink(settings, timer, registry, () -> new Random(7));
    links.add(link);
    return link;
  }

  private static void connect(NettyPeerLink link, String peerId, int port) {
    Map<String, String> peers = new HashMap<>();
    peers.put(peerId, address(port));
    link.setPeers(peers);
    await().until(() -> link.isConnected(peerId));
  }

  private static CompletableFuture<Optional<ByteString>> echo(String from, ByteString payload) {
    return CompletableFuture.completedFuture(Optional.of(payload));
  }

  private static String address(int port) {
    return "127.0.0.1:" + port;
  }

  private static ByteString bytes(String text) {
    return ByteString.copyFromUtf8(text);
  }
}
