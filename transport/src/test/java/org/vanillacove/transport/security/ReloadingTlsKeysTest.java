package org.vanillacove.transport.security;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.server.Server;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.peer.PeerChannel;
import org.vanillacove.transport.peer.NettyPeerLink;
import org.vanillacove.transport.peer.PeerLinkSettings;

/** Tests {@link ReloadingTlsKeys} on HTTP ports and peer links, with locally generated keys. */
class ReloadingTlsKeysTest {
  private static final Duration PERIOD = Duration.ofMillis(20);
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final int ATTEMPTS = 200;
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

  @TempDir private Path directory;

  private final ScheduledTimerService timer = new ScheduledTimerService();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private LocalKeyGenerator maker;
  private TlsFiles files;
  private ReloadingTlsKeys keys;

  @BeforeEach
  void makeKeys() throws Exception {
    maker = new LocalKeyGenerator(directory.resolve("ours"));
    files = maker.generateKey("host");
    keys = track(new ReloadingTlsKeys(files, timer, PERIOD));
  }

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable resource : opened.reversed()) {
      resource.close();
    }
    timer.close();
  }

  @Test
  void rotatedKeyIsServedWithoutRestart() throws Exception {
    Server server = startServer(false);
    X509Certificate first = keys.keyPair("").certificateChain().getFirst();
    assertThat(get(server, Optional.empty())).isEqualTo("whole");
    TlsFiles next = maker.generateKey("next");
    replace(next.keyFile(), files.keyFile());
    replace(next.certificateFile(), files.certificateFile());
    await().until(() -> !keys.keyPair("").certificateChain().getFirst().equals(first));
    assertThat(get(server, Optional.empty())).isEqualTo("whole");
  }

  @Test
  void invalidFilesDoNotReplaceCurrentKeys() throws Exception {
    X509Certificate first = keys.keyPair("").certificateChain().getFirst();
    TlsFiles other = maker.generateKey("other");
    replace(other.keyFile(), files.keyFile());
    Files.writeString(files.certificateFile(), "no certificate");
    Server server = startServer(false);
    assertThat(get(server, Optional.empty())).isEqualTo("whole");
    assertThat(keys.keyPair("").certificateChain().getFirst()).isEqualTo(first);
  }

  @Test
  void exceptionNamesInvalidFiles() throws Exception {
    TlsFiles other = maker.generateKey("other");
    TlsFiles mismatched = new TlsFiles(files.certificateFile(), other.keyFile(), files.trustFile());
    assertThatThrownBy(() -> new ReloadingTlsKeys(mismatched, timer, PERIOD))
        .isInstanceOf(TlsKeyException.class)
        .hasMessageContaining("other.key")
        .hasMessageContaining("host.pem");
    Path missing = directory.resolve("missing.pem");
    TlsFiles absent = new TlsFiles(files.certificateFile(), files.keyFile(), missing);
    assertThatThrownBy(() -> new ReloadingTlsKeys(absent, timer, PERIOD))
        .hasMessageContaining("missing.pem: cannot be read");
  }

  @Test
  void mutualTlsPortRequiresCertificateOfTrustedAuthority() throws Exception {
    Server server = startServer(true);
    assertThat(get(server, Optional.of(keys.keyPair("")))).isEqualTo("whole");
    assertThatThrownBy(() -> get(server, Optional.empty())).isNotNull();
    TlsFiles untrusted = new LocalKeyGenerator(directory.resolve("theirs")).generateKey("stranger");
    TlsKeyPair pair =
        TlsKeyPair.of(untrusted.keyFile().toFile(), untrusted.certificateFile().toFile());
    assertThatThrownBy(() -> get(server, Optional.of(pair))).isNotNull();
  }

  @Test
  void plainTextConnectionsToTlsPortsAreClosed() throws Exception {
    assertPlainTextConnectionIsClosed(startServer(false).activeLocalPort());
    assertPlainTextConnectionIsClosed(openLink("tls", Optional.of(keys)).port());
  }

  @Test
  void onlyPeersWithCertificatesOfTheSameAuthorityConnect() throws Exception {
    NettyPeerLink first = openLink("first", Optional.of(keysOf("first")));
    NettyPeerLink second = openLink("second", Optional.of(keysOf("second")));
    second.register(
        PeerChannel.SESSION,
        (from, payload) -> CompletableFuture.completedFuture(Optional.of(payload)));
    TlsFiles untrustedFiles =
        new LocalKeyGenerator(directory.resolve("theirs")).generateKey("stranger");
    NettyPeerLink stranger =
        openLink(
            "stranger", Optional.of(track(new ReloadingTlsKeys(untrustedFiles, timer, PERIOD))));
    NettyPeerLink plain = openLink("plain", Optional.empty());
    Map<String, String> peers = Map.of("second", "127.0.0.1:" + second.port());
    stranger.setPeers(peers);
    plain.setPeers(peers);
    first.setPeers(peers);
    await().until(() -> first.isConnected("second"));
    ByteString payload = ByteString.copyFromUtf8("secret");
    assertThat(first.call("second", PeerChannel.SESSION, payload, DEADLINE).join())
        .contains(payload);
    assertThat(stranger.isConnected("second")).isFalse();
    assertThat(plain.isConnected("second")).isFalse();
  }

  @Test
  void certificateOfAnotherHostIsRejected() throws Exception {
    NettyPeerLink second = openLink("second", Optional.of(keysOf("second")));
    NettyPeerLink genuine = openLink("first", Optional.of(keysOf("first")));
    NettyPeerLink impostorClient = openLink("first", Optional.of(keysOf("third")));
    NettyPeerLink impostorServer = openLink("fourth", Optional.of(keysOf("third")));
    Set<String> received = ConcurrentHashMap.newKeySet();
    second.register(
        PeerChannel.SESSION,
        (from, payload) -> {
          received.add(payload.toStringUtf8());
          return CompletableFuture.completedFuture(Optional.of(payload));
        });
    String address = "127.0.0.1:" + second.port();
    impostorClient.setPeers(Map.of("second", address));
    genuine.setPeers(Map.of("second", address, "fourth", "127.0.0.1:" + impostorServer.port()));
    await().until(() -> genuine.isConnected("second"));
    for (int i = 0; i < ATTEMPTS; i++) {
      ByteString payload = ByteString.copyFromUtf8("genuine");
      assertThat(genuine.call("second", PeerChannel.SESSION, payload, DEADLINE).join())
          .contains(payload);
      impostorClient.send("second", PeerChannel.SESSION, ByteString.copyFromUtf8("impostor"));
      assertThat(impostorClient.isConnected("second")).isFalse();
      assertThat(genuine.isConnected("fourth")).isFalse();
    }
    assertThat(received).containsExactly("genuine");
  }

  private ReloadingTlsKeys keysOf(String hostId) throws Exception {
    return track(new ReloadingTlsKeys(maker.generateKey(hostId), timer, PERIOD));
  }

  private static void assertPlainTextConnectionIsClosed(int port) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: host\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      byte[] response = readUntilClosed(socket);
      assertThat(new String(response, StandardCharsets.ISO_8859_1)).doesNotContain("whole");
    }
  }

  private static byte[] readUntilClosed(Socket socket) throws IOException {
    try {
      return socket.getInputStream().readAllBytes();
    } catch (SocketException e) {
      return new byte[0];
    }
  }

  private Server startServer(boolean mutual) {
    var builder =
        Server.builder()
            .https(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .service("/", (context, request) -> HttpResponse.of("whole"));
    keys.install(builder, mutual);
    Server server = builder.build();
    server.start().join();
    opened.add(server::closeAsync);
    return server;
  }

  private String get(Server server, Optional<TlsKeyPair> pair) {
    var builder =
        ClientFactory.builder()
            .tlsCustomizer(customizer -> customizer.trustManager(keys.trustedCertificates("")));
    pair.ifPresent(builder::tls);
    ClientFactory factory = builder.build();
    opened.add(factory::closeAsync);
    return WebClient.builder("https://127.0.0.1:" + server.activeLocalPort())
        .factory(factory)
        .build()
        .get("/")
        .aggregate()
        .join()
        .contentUtf8();
  }

  private NettyPeerLink openLink(String hostId, Optional<ReloadingTlsKeys> tls) {
    PeerLinkSettings settings = PeerLinkSettings.of(hostId, "127.0.0.1:0");
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    return track(
        tls.map(used -> new NettyPeerLink(settings, timer, registry, () -> new Random(1), used))
            .orElseGet(() -> new NettyPeerLink(settings, timer, registry, () -> new Random(1))));
  }

  private <T extends AutoCloseable> T track(T resource) {
    opened.add(resource);
    return resource;
  }

  private static void replace(Path from, Path to) {
    try {
      Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
