package org.vanillacove.transport.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.platform.AppendOutcome;
import org.vanillacove.protocol.platform.ReadOutcome;

/** Tests {@link HttpPlatformLog} against an HTTP/2 server on raw sockets that misbehaves. */
class HttpPlatformLogSocketTest {
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  /** An empty SETTINGS frame followed by an acknowledgement of the client's. */
  private static final byte[] SETTINGS = {0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 0, 4, 1, 0, 0, 0, 0};

  private final ScheduledTimerService timer = new ScheduledTimerService();
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket listener;
  private PlatformClient client;
  private HttpPlatformLog log;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    client = new PlatformClient("127.0.0.1:" + listener.getLocalPort(), DEADLINE, timer);
    log = new HttpPlatformLog(client);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    listener.close();
    timer.close();
  }

  /** The server has read part of the request, so the append may have had an effect. */
  @ParameterizedTest
  @ValueSource(ints = {300, 2_000, 20_000})
  void connectionResetDuringRequestLeavesOutcomeUnknown(int bytesRead) {
    acceptAll(
        socket -> {
          readNBytes(socket, bytesRead);
          socket.setSoLinger(true, 0);
          socket.close();
        });
    assertThat(appendLarge()).isInstanceOf(AppendOutcome.Unknown.class);
  }

  @Test
  void timeoutLeavesOutcomeUnknownAndLaterCallsUseNewConnections() {
    acceptAll(socket -> readNBytes(socket, Integer.MAX_VALUE));
    assertThat(appendLarge()).isInstanceOf(AppendOutcome.Unknown.class);
    assertThat(connections).hasValue(1);
    assertThat(log.read(0, 1).join()).isInstanceOf(ReadOutcome.Unavailable.class);
    assertThat(connections).hasValue(2);
  }

  private AppendOutcome appendLarge() {
    return log.append(List.of(ByteString.copyFrom(new byte[60_000]))).join();
  }

  /** Behaviour of the raw server after it has sent its settings. */
  @FunctionalInterface
  private interface ServerBehaviour {
    void handle(Socket socket) throws IOException;
  }

  private void acceptAll(ServerBehaviour behaviour) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                while (true) {
                  Socket socket = listener.accept();
                  connections.incrementAndGet();
                  Thread.ofVirtual().start(() -> serve(socket, behaviour));
                }
              } catch (IOException e) {
                // The listener was closed at the end of the test.
              }
            });
  }

  private static void serve(Socket socket, ServerBehaviour behaviour) {
    try {
      socket.getOutputStream().write(SETTINGS);
      behaviour.handle(socket);
    } catch (IOException e) {
      // The client closed its end.
    }
  }

  private static void readNBytes(Socket socket, int count) throws IOException {
    InputStream in = socket.getInputStream();
    in.skipNBytes(count);
  }
}
