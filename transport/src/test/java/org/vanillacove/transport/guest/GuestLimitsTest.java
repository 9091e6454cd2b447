package org.vanillacove.transport.guest;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillacove.standin.backend.BackendServer;

/** Tests {@link GuestLimits} with guests that send too slowly or exceed a size limit. */
class GuestLimitsTest {
  private static final int MAX_HEADER_BYTES = 2_048;
  private static final int MAX_BODY_BYTES = 10_000;
  private static final GuestLimits LIMITS =
      new GuestLimits(
          MAX_HEADER_BYTES,
          MAX_BODY_BYTES,
          5_000,
          2,
          Duration.ofMillis(300),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));
  private final BackendServer backend = new BackendServer("b", EntryCell.ZONE, 8);
  private final EntryCell cell =
      new EntryCell(1, SessionProtocol.HTTP, List.of(backend::listed), LIMITS);

  @AfterEach
  void close() {
    cell.close();
    backend.close();
  }

  @Test
  void slowSenderTimesOutAndHoldsNoSlot() throws IOException {
    try (Socket socket = connect()) {
      send(socket, "POST /work HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf");

      assertThat(statusLine(socket)).contains("408");
      assertThat(backend.runCount()).isZero();
      assertThat(cell.host(1).router.ledger().used("b")).isZero();
    }
  }

  @Test
  void largeHeaderIsRefused() throws IOException {
    try (Socket socket = connect()) {
      String large = "x".repeat(2 * MAX_HEADER_BYTES);
      send(socket, "GET /work HTTP/1.1\r\nhost: h\r\nlarge: " + large + "\r\n\r\n");

      assertThat(statusLine(socket)).containsPattern("4\\d\\d");
      assertThat(backend.runCount()).isZero();
    }
  }

  @Test
  void largeBodyIsRefused() {
    AggregatedHttpResponse answer =
        cell.host(1).post("/echo", "x".repeat(2 * MAX_BODY_BYTES)).join();

    assertThat(answer.status().code()).isEqualTo(413);
    assertThat(backend.runCount()).isZero();
  }

  @Test
  void connectionsAboveTheLimitAreClosed() throws IOException {
    try (Socket one = connect();
        Socket two = connect()) {
      send(one, "GET /work HTTP/1.1\r\nhost: h\r\n\r\n");
      send(two, "GET /work HTTP/1.1\r\nhost: h\r\n\r\n");
      assertThat(statusLine(one)).contains("200");
      assertThat(statusLine(two)).contains("200");

      try (Socket three = connect()) {
        assertThat(isClosed(three)).isTrue();
      }
    }
  }

  private Socket connect() throws IOException {
    int port = cell.host(1).server.activeLocalPort();
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(10_000);
    return socket;
  }

  /** Waits until the peer closes or resets the connection. */
  private static boolean isClosed(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketException e) {
      return true;
    }
  }

  private static void send(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static String statusLine(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\r'; next = in.read()) {
      line.append((char) next);
    }
    return line.toString();
  }
}
