package org.vanillacove.daemon.log;

import java.util.logging.Handler;
import java.util.logging.Logger;

/** Formats of the log on standard error. */
public enum LogFormat {
  /** One line of text for each event, in the format of the logging configuration. */
  TEXT,

  /** One JSON object on a line for each event, for log collectors. */
  JSON;

  /** Sets this format in all handlers of the root logger; {@code TEXT} keeps their format. */
  public void install() {
    if (this == JSON) {
      for (Handler handler : Logger.getLogger("").getHandlers()) {
        handler.setFormatter(new JsonLogFormatter());
      }
    }
  }
}
