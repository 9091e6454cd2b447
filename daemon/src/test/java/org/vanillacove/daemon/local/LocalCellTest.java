package org.vanillacove.daemon.local;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillacove.daemon.host.HostStartException;

/** Tests the HTTP interfaces of a local cell whose ports use generated TLS keys. */
class LocalCellTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int GUEST_PORT_OFFSET = 100;
  private static final int TIMELINE_LIMIT = 256;
  private static final int CHANGE_COUNT = 40;
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PORTS_PER_CELL = 400;
  private static final int FIRST_BASE = 21_000;
  private static final Pattern METRIC_TYPE_LINE = Pattern.compile("(?m)^# TYPE (\\S+) ");
  private static final Pattern METRIC_TABLE_ROW = Pattern.compile("(?m)^\\| `([a-z_]+)` \\|");

  @TempDir private static Path keys;

  private static int base;
  private static LocalCell cell;
  private static ClientFactory trusting;

  @BeforeAll
  static void start() throws HostStartException {
    base = freeBase();
    cell = new LocalCell(base, Optional.of(keys));
    trusting =
        ClientFactory.builder()
            .tlsCustomizer(tls -> tls.trustManager(keys.resolve("authority.pem").toFile()))
            .build();
    await().atMost(TIMEOUT).until(cell::isReady);
  }

  @AfterAll
  static void stop() {
    trusting.closeAsync();
    cell.close();
  }

  @Test
  void operatorAndGuestPortsUseGeneratedKeys() {
    assertThat(cell.readyLine()).endsWith("trusted=" + keys.resolve("authority.pem"));
    assertThat(get("https", base, "/api/v1/status").contentUtf8()).contains("host-1", "host-3");
    assertThat(get("https", base + GUEST_PORT_OFFSET, "/stock/castors").status().code())
        .isEqualTo(200);
  }

  @Test
  void plainTextRequestAtOperatorPortIsRejected() {
    for (HttpMethod method : Set.of(HttpMethod.GET, HttpMethod.PUT)) {
      for (String path : Set.of("/api/v1/jobs/j-1", "/metrics", "/healthz", "/nowhere")) {
        AggregatedHttpResponse answer =
            WebClient.of("http://127.0.0.1:" + base)
                .execute(
                    HttpRequest.of(
                        RequestHeaders.of(
                            method, path, HttpHeaderNames.AUTHORIZATION, "Bearer a:b"),
                        HttpData.ofUtf8("{}")))
                .aggregate()
                .join();

        assertThat(answer.status().code()).isEqualTo(400);
        assertThat(answer.contentType()).isEqualTo(MediaType.JSON);
        assertThat(answer.contentUtf8()).contains("REFUSED", "TLS").doesNotContain("a:b");
      }
    }
  }

  @Test
  void privateKeysAreReadByTheirOwnerOnly() throws IOException {
    for (String name : Set.of("ports", "host-1", "host-2", "host-3")) {
      assertThat(
              PosixFilePermissions.toString(
                  Files.getPosixFilePermissions(keys.resolve(name + ".key"))))
          .isEqualTo("rw-------");
    }
  }

  @Test
  void documentedMetricsMatchExportedMetrics() throws IOException {
    get("https", base + GUEST_PORT_OFFSET, "/stock/castors");

    assertThat(matches(METRIC_TABLE_ROW, Files.readString(Path.of("..", "docs", "METRICS.md"))))
        .isEqualTo(matches(METRIC_TYPE_LINE, get("https", base, "/metrics").contentUtf8()));
  }

  @Test
  void timelineRetainsConfiguredNumberOfEvents() throws IOException {
    put("\"retention\":{\"timelineEvents\":%d}".formatted(TIMELINE_LIMIT));

    await()
        .atMost(TIMEOUT)
        .untilAsserted(
            () -> {
              for (int i = 0; i < 2 * TIMELINE_LIMIT; i++) {
                send(HttpMethod.DELETE, "/api/v1/exceptions/none", "");
              }
              String events =
                  get("https", base, "/api/v1/timeline?kind=operator-request&limit=5000")
                      .contentUtf8();
              assertThat(events.split("DELETE", -1)).hasSizeBetween(2, TIMELINE_LIMIT + 1);
            });
  }

  @Test
  void oldVersionsAreListedComparedAndRolledBackTo() throws IOException {
    long first = put("\"routing\":{\"queueLimit\":100}");
    long last = first;
    for (int i = 1; i <= CHANGE_COUNT; i++) {
      last = put("\"routing\":{\"queueLimit\":%d}".formatted(100 + i));
    }

    JsonNode history = json(get("https", base, "/api/v1/configuration/history")).path("versions");
    assertThat(history.findValuesAsText("version"))
        .hasSizeGreaterThan(CHANGE_COUNT)
        .contains(Long.toString(first))
        .endsWith(Long.toString(last));
    assertThat(history.get(history.size() - 1).path("changes").asInt()).isEqualTo(1);
    assertThat(
            get("https", base, "/api/v1/configuration/diff?before=" + first + "&after=" + last)
                .contentUtf8())
        .contains("queueLimit", "100", Integer.toString(100 + CHANGE_COUNT));
    AggregatedHttpResponse rolledBack =
        send(
            HttpMethod.POST,
            "/api/v1/configuration/rollback",
            "{\"basedOn\":%d,\"version\":%d,\"reason\":\"r\"}".formatted(last, first));
    assertThat(rolledBack.status().code()).isEqualTo(200);
    assertThat(inForce().path("document").toString()).contains("\"queueLimit\":100}");
  }

  private static long put(String defaults) throws IOException {
    AggregatedHttpResponse answer =
        send(
            HttpMethod.PUT,
            "/api/v1/configuration",
            "{\"basedOn\":%d,\"reason\":\"r\",\"document\":{\"defaults\":{%s}}}"
                .formatted(inForce().path("version").asLong(), defaults));
    assertThat(answer.status().code()).isEqualTo(200);
    long version = json(answer).path("version").asLong();
    await().atMost(TIMEOUT).until(() -> inForce().path("version").asLong() == version);
    return version;
  }

  private static JsonNode inForce() throws IOException {
    return json(get("https", base, "/api/v1/configuration"));
  }

  private static JsonNode json(AggregatedHttpResponse answer) throws IOException {
    return MAPPER.readTree(answer.contentUtf8());
  }

  private static AggregatedHttpResponse send(HttpMethod method, String path, String body) {
    return WebClient.builder("https://127.0.0.1:" + base)
        .factory(trusting)
        .build()
        .execute(HttpRequest.of(method, path, MediaType.JSON, body))
        .aggregate()
        .join();
  }

  private static Set<String> matches(Pattern pattern, String text) {
    Set<String> names = new TreeSet<>();
    pattern.matcher(text).results().forEach(result -> names.add(result.group(1)));
    return names;
  }

  private static AggregatedHttpResponse get(String scheme, int port, String path) {
    return WebClient.builder(scheme + "://127.0.0.1:" + port)
        .factory(trusting)
        .build()
        .get(path)
        .aggregate()
        .join();
  }

  private static int freeBase() {
    for (int candidate = FIRST_BASE; candidate < 2 * FIRST_BASE; candidate += PORTS_PER_CELL) {
      if (isFree(candidate)
          && isFree(candidate + GUEST_PORT_OFFSET)
          && isFree(candidate + 3 * GUEST_PORT_OFFSET)) {
        return candidate;
      }
    }
    throw new IllegalStateException("no free range of ports");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
