package org.vanillacove.cli;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.vanillacove.transport.operator.message.TimelineMessage;

/** Writes the time line as one self-contained HTML file. */
final class TimelineReport {
  /** Mark in the template that the events take the place of. */
  private static final String EVENTS_PLACEHOLDER = "/*EVENTS*/null";

  private TimelineReport() {}

  /** Returns the report; events are data in the page, never markup. */
  static String html(TimelineMessage message) {
    String data = CommandContext.write(message, true).replace("<", "\\u003c");
    return template().replace(EVENTS_PLACEHOLDER, data);
  }

  private static String template() {
    try {
      return Resources.toString(
          Resources.getResource(TimelineReport.class, "timeline.html"), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException("timeline.html is not on the class path", e);
    }
  }
}
