package org.vanillacove.cli;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.vanillacove.transport.operator.message.OperatorJson;

/** Tests that malformed bodies are rejected with field and reason and do not change the cell. */
class MalformedBodyTest {
  private static final int READ_MILLIS = 20_000;
  private static final Pattern LENGTH = Pattern.compile("content-length: (\\d+)");
  private static final String JOB =
      "{\"name\":\"a\",\"team\":\"t\",\"kind\":\"batch\",\"command\":\"c\","
          + "\"resources\":{\"cpuMillis\":1,\"memoryMib\":1}}";

  @TempDir private static Path directory;

  private static InMemoryHosts hosts;

  @BeforeAll
  static void startHosts() throws IOException {
    hosts = new InMemoryHosts(directory, List.of());
    assertThat(send("PUT", "/jobs/j-kept", JOB.getBytes(ISO_8859_1), 0)).startsWith("HTTP/1.1 200");
  }

  @AfterAll
  static void stopHosts() {
    hosts.close();
  }

  @ParameterizedTest(name = "{0}: {1} {2}")
  @CsvFileSource(
      resources = "malformed.csv",
      delimiter = '|',
      quoteCharacter = '`',
      numLinesToSkip = 1,
      maxCharsPerColumn = 10_000)
  void malformedBodyIsRejected(
      String name, String method, String path, String body, int status, String field, String reason)
      throws IOException {
    String answer = send(method, path, bytes(body), 0);

    assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
    JsonNode outcome = OperatorJson.MAPPER.readTree(answer.substring(answer.indexOf("\r\n\r\n")));
    assertThat(outcome.path("result").asText()).isEqualTo("REFUSED");
    assertThat(outcome.path("faults"))
        .anySatisfy(
            fault -> {
              assertThat(fault.path("field").asText()).isEqualTo(expand(field));
              assertThat(fault.path("reason").asText()).contains(reason).hasSizeLessThan(500);
            });
    assertNothingChanged();
  }

  @ParameterizedTest
  @CsvFileSource(resources = "bodies.csv", delimiter = '|', numLinesToSkip = 1)
  void cutOffBodyChangesNothing(String method, String path) throws IOException {
    send(method, path, JOB.getBytes(ISO_8859_1), 1);

    assertNothingChanged();
  }

  private static void assertNothingChanged() throws IOException {
    assertThat(send("GET", "/jobs", new byte[0], 0))
        .startsWith("HTTP/1.1 200")
        .containsOnlyOnce("\"jobId\":")
        .contains("\"jobId\":\"j-kept\"", "\"state\":\"WAITING\"");
    assertThat(send("GET", "/workers", new byte[0], 0)).doesNotContain("DRAINING");
    assertThat(send("GET", "/configuration", new byte[0], 0)).contains("\"version\":0");
  }

  private static byte[] bytes(String body) {
    return expand(body == null ? "" : body).replace("\\xFF", "\u00ff").getBytes(ISO_8859_1);
  }

  /** Expands repetitions: {@code {{[*40}}} becomes 40 opening brackets. */
  private static String expand(String from) {
    String text = from;
    while (text.contains("{{")) {
      int start = text.indexOf("{{");
      int star = text.indexOf('*', start);
      int to = text.indexOf("}}", star);
      String run = text.substring(start + 2, star);
      text =
          text.substring(0, start)
              + run.repeat(Integer.parseInt(text.substring(star + 1, to)))
              + text.substring(to + 2);
    }
    return text;
  }

  /** Sends a request whose declared length exceeds its body by {@code missing} bytes. */
  private static String send(String method, String path, byte[] body, int missing)
      throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), hosts.port("h1"))) {
      socket.setSoTimeout(READ_MILLIS);
      String head =
          "%s /api/v1%s HTTP/1.1\r\nhost: h1\r\ncontent-length: %d\r\n\r\n"
              .formatted(method, path, body.length + missing);
      socket.getOutputStream().write(head.getBytes(ISO_8859_1));
      socket.getOutputStream().write(body);
      if (missing > 0) {
        socket.shutdownOutput();
      }
      return read(socket.getInputStream());
    }
  }

  /** Reads one response, or its available part if the connection is closed early. */
  private static String read(InputStream stream) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int next = stream.read();
    while (next >= 0 && !head.toString(ISO_8859_1).endsWith("\r\n\r\n")) {
      head.write(next);
      next = head.toString(ISO_8859_1).endsWith("\r\n\r\n") ? 0 : stream.read();
    }
    Matcher length = LENGTH.matcher(head.toString(ISO_8859_1));
    byte[] body = stream.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
    return head.toString(ISO_8859_1) + new String(body, UTF_8);
  }
}
