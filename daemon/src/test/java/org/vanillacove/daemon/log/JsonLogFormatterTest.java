package org.vanillacove.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link JsonLogFormatter} by parsing its lines. */
class JsonLogFormatterTest {
  private final JsonLogFormatter formatter = new JsonLogFormatter();

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "peer: connected to host-2 | peer | connected to host-2",
        "peer: no connection to host-3: refused | peer | no connection to host-3: refused",
        "Serving HTTP at /127.0.0.1 | | Serving HTTP at /127.0.0.1",
        "http://127.0.0.1 | | http://127.0.0.1"
      })
  void prefixBecomesThePart(String message, String part, String rest) {
    JsonNode line = format(new LogRecord(Level.INFO, message));

    assertThat(line.path("part").asText(null)).isEqualTo(part);
    assertThat(line.path("message").asText()).isEqualTo(rest);
    assertThat(line.path("level").asText()).isEqualTo("INFO");
  }

  @Test
  void eventStaysOnOneLineWithItsTimeAndCause() {
    LogRecord event = new LogRecord(Level.SEVERE, "daemon: first line\nsecond \"line\"");
    event.setInstant(Instant.parse("2026-12-04T07:00:00.123Z"));
    event.setLoggerName("org.vanillacove.daemon");
    event.setThrown(new IllegalStateException("broken"));

    JsonNode line = format(event);

    assertThat(line.path("time").asText()).isEqualTo("2026-12-04T07:00:00.123Z");
    assertThat(line.path("message").asText()).isEqualTo("first line\nsecond \"line\"");
    assertThat(line.path("logger").asText()).isEqualTo("org.vanillacove.daemon");
    assertThat(line.path("error").asText()).contains("IllegalStateException: broken");
  }

  private JsonNode format(LogRecord event) {
    String text = formatter.format(event);
    assertThat(text.indexOf('\n')).isEqualTo(text.length() - 1);
    try {
      return new ObjectMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new AssertionError(text, e);
    }
  }
}
