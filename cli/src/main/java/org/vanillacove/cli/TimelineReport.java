package org.vanillacove.cli;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.vanillacove.transport.operator.message.TimelineMessage;

/** Renders the timeline as a self-contained HTML page. */
final class TimelineReport {
  /** Placeholder in the template that is replaced by the events. */
  private static final String EVENTS_PLACEHOLDER = "/*EVENTS*/null";

  private TimelineReport() {}

  /** Returns the page; events are embedded as escaped data, so that they cannot inject markup. */
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
