package org.vanillacove.daemon.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Formats each log event as a JSON object on one line.
 *
 * <p>Fields: {@code time} in ISO 8601 and UTC, {@code level}, {@code part} (the prefix of the
 * message, if it has one), {@code message} without the prefix, {@code logger}, and {@code error}
 * with the stack trace of the cause.
 */
public final class JsonLogFormatter extends Formatter {
  /** Matches a message that begins with the prefix of a component. */
  private static final Pattern PREFIXED = Pattern.compile("([a-z]{2,20}): (.*)", Pattern.DOTALL);

  /** Serializes the JSON objects. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Creates a formatter; also called reflectively by {@link java.util.logging.LogManager}. */
  public JsonLogFormatter() {}

  @Override
  public String format(LogRecord event) {
    ObjectNode line = MAPPER.createObjectNode();
    line.put("time", event.getInstant().toString());
    line.put("level", event.getLevel().getName());
    putMessage(line, formatMessage(event));
    line.put("logger", event.getLoggerName());
    if (event.getThrown() != null) {
      line.put("error", Throwables.getStackTraceAsString(event.getThrown()));
    }
    return write(line) + "\n";
  }

  private static void putMessage(ObjectNode line, String message) {
    Matcher prefixed = PREFIXED.matcher(message == null ? "" : message);
    if (prefixed.matches()) {
      line.put("part", prefixed.group(1));
      line.put("message", prefixed.group(2));
    } else {
      line.put("message", message);
    }
  }

  private static String write(ObjectNode line) {
    try {
      return MAPPER.writeValueAsString(line);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a log event as JSON", e);
    }
  }
}
