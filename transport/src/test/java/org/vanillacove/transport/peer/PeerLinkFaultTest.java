package org.vanillacove.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.generated.PeerFrame;
import org.vanillacove.protocol.generated.PeerFrameKind;
import org.vanillacove.protocol.generated.PeerHello;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.memory.ManualTimerService;

/** Tests {@link NettyPeerLink} against misbehaving peers on raw sockets. */
class PeerLinkFaultTest {
  private static final Duration DEADLINE = Duration.ofSeconds(20);
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
  private static final int WRITE_HIGH_BYTES = 64 << 10;
  private static final int PAYLOAD_BYTES = 16 << 10;

  private final ScheduledTimerService timer = new ScheduledTimerService();
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private ServerSocket listener;

  @BeforeEach
  void listen() throws IOException {
    listener = track(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
  }

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable resource : opened) {
      resource.close();
    }
    for (Socket socket : accepted) {
      socket.close();
    }
    timer.close();
  }

  @Test
  void unresponsiveConnectionIsReplacedAndItsCallsEnd() {
    acceptAll(PeerLinkFaultTest::sendHello);
    NettyPeerLink link = open(timer);
    link.setPeers(peers());
    await().until(() -> link.isConnected("peer"));
    CompletableFuture<Optional<ByteString>> call =
        link.call("peer", PeerChannel.SLOT, ByteString.EMPTY, DEADLINE);
    await().until(() -> accepted.size() >= 3);
    assertThat(call.join()).isEmpty();
    assertThat(registry.counter("peer.silences").count()).isGreaterThanOrEqualTo(2);
  }

  @Test
  void messagesToSlowReaderAreDroppedInsteadOfBuffered() {
    acceptAll(PeerLinkFaultTest::sendHello);
    NettyPeerLink link = open(new ManualTimerService(0));
    link.setPeers(peers());
    await().until(() -> link.isConnected("peer"));
    ByteString payload = ByteString.copyFrom(new byte[PAYLOAD_BYTES]);
    int messages = 20_000;
    for (int i = 0; i < messages; i++) {
      link.send("peer", PeerChannel.SESSION, payload);
    }
    double dropped = registry.counter("peer.messages.dropped").count();
    double sent = registry.counter("peer.frames.sent").count();
    assertThat(dropped + sent).isEqualTo(messages);
    assertThat(dropped).isPositive();
    // Once the socket's buffer is full, calls end immediately. The manual clock never advances, so
    // they can't have ended because of their deadline.
    await()
        .pollDelay(Duration.ZERO)
        .pollInterval(Duration.ofMillis(1))
        .untilAsserted(
            () -> {
              double before = registry.counter("peer.frames.sent").count();
              for (int i = 0; i < 1_000; i++) {
                link.send("peer", PeerChannel.SESSION, payload);
              }
              assertThat(registry.counter("peer.frames.sent").count()).isEqualTo(before);
              assertThat(link.call("peer", PeerChannel.SLOT, payload, DEADLINE))
                  .isCompletedWithValue(Optional.empty());
            });
  }

  @Test
  void backoffLimitsConnectionAttemptsToFlappingPeer() {
    acceptAll(Socket::close);
    ManualTimerService manual = new ManualTimerService(0);
    NettyPeerLink link = open(manual);
    link.setPeers(peers());
    await()
        .pollDelay(Duration.ZERO)
        .pollInterval(Duration.ofMillis(1))
        .until(
            () -> {
              manual.advance(10);
              return manual.monotonicMillis() >= 5_000;
            });
    // Delays double from 10 ms to 200 ms and jitter may halve them: 5 + 10 + 20 + 40 + 80 ms, then
    // at most one attempt every 100 ms. The first attempt is immediate.
    assertThat(accepted.size()).isBetween(2, 1 + 5 + 5_000 / 100);
  }

  @Test
  void incompatibleVersionsAreRejectedWithReason() throws IOException {
    try (Socket socket = openSocket(open(timer).port())) {
      write(socket, hello("old", 98, 99, "host"));
      PeerFrame response = read(socket);
      assertThat(response.getKind()).isEqualTo(PeerFrameKind.PEER_FRAME_REJECTION);
      assertThat(response.getReason()).isEqualTo("versions 98 to 99 do not meet versions 1 to 1");
      assertThat(isClosed(socket)).isTrue();
    }
  }

  @Test
  void helloForAnotherHostIsRejected() throws IOException {
    try (Socket socket = openSocket(open(timer).port())) {
      write(socket, hello("other", 1, 1, "former"));
      assertThat(read(socket).getReason()).isEqualTo("meant for former, this is host");
      assertThat(isClosed(socket)).isTrue();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, 1 << 30, (1 << 20) + 1})
  void frameOfInvalidLengthClosesConnection(int length) throws IOException {
    try (Socket socket = openSocket(open(timer).port())) {
      new DataOutputStream(socket.getOutputStream()).writeInt(length);
      assertThat(isClosed(socket)).isTrue();
    }
  }

  @Test
  void malformedFrameClosesConnection() throws IOException {
    try (Socket socket = openSocket(open(timer).port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(4);
      out.write(new byte[] {-1, -1, -1, -1});
      assertThat(isClosed(socket)).isTrue();
    }
  }

  @Test
  void connectionWithoutHelloIsClosed() throws IOException {
    try (Socket socket = openSocket(open(timer).port())) {
      assertThat(isClosed(socket)).isTrue();
    }
  }

  @Test
  void newConnectionOfHostReplacesPreviousOne() throws IOException {
    NettyPeerLink link = open(timer);
    try (Socket previous = openSocket(link.port());
        Socket newer = openSocket(link.port())) {
      write(previous, hello("peer", 1, 1, "host"));
      assertThat(read(previous).getKind()).isEqualTo(PeerFrameKind.PEER_FRAME_HELLO);
      write(newer, hello("peer", 1, 1, "host"));
      assertThat(read(newer).getKind()).isEqualTo(PeerFrameKind.PEER_FRAME_HELLO);
      assertThat(isClosed(previous)).isTrue();
      write(newer, PeerFrames.control(PeerFrameKind.PEER_FRAME_PROBE, 0));
      assertThat(read(newer).getKind()).isEqualTo(PeerFrameKind.PEER_FRAME_PROBE_ANSWER);
    }
  }

  /** What the raw peer does with an accepted connection. */
  @FunctionalInterface
  private interface PeerBehaviour {
    void handle(Socket socket) throws IOException;
  }

  private void acceptAll(PeerBehaviour behaviour) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                while (true) {
                  Socket socket = listener.accept();
                  accepted.add(socket);
                  behaviour.handle(socket);
                }
              } catch (IOException e) {
                // The listener was closed at the end of the test.
              }
            });
  }

  private static void sendHello(Socket socket) throws IOException {
    write(socket, hello("peer", 1, 1, ""));
  }

  private NettyPeerLink open(TimerService usedTimer) {
    PeerLinkSettings settings =
        new PeerLinkSettings(
            "host",
            "127.0.0.1:0",
            1 << 20,
            WRITE_HIGH_BYTES,
            WRITE_HIGH_BYTES / 4,
            Duration.ofSeconds(5),
            Duration.ofMillis(100),
            Duration.ofMillis(400),
            Duration.ofMillis(10),
            Duration.ofMillis(200));
    return track(new NettyPeerLink(settings, usedTimer, registry, () -> new Random(7)));
  }

  private Map<String, String> peers() {
    return Map.of("peer", "127.0.0.1:" + listener.getLocalPort());
  }

  private <T extends AutoCloseable> T track(T resource) {
    opened.add(resource);
    return resource;
  }

  private static Socket openSocket(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return socket;
  }

  private static PeerFrame hello(String id, int minimum, int maximum, String expected) {
    return PeerFrame.newBuilder()
        .setKind(PeerFrameKind.PEER_FRAME_HELLO)
        .setHello(
            PeerHello.newBuilder()
                .setHostId(id)
                .setMinimumVersion(minimum)
                .setMaximumVersion(maximum)
                .setExpectedHostId(expected))
        .build();
  }

  private static void write(Socket socket, PeerFrame frame) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(frame.getSerializedSize());
    frame.writeTo(out);
    out.flush();
  }

  private static PeerFrame read(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    return PeerFrame.parseFrom(in.readNBytes(in.readInt()));
  }

  private static boolean isClosed(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketException e) {
      return true;
    }
  }
}
