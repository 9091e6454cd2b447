package org.vanillacove.daemon.log;

import java.util.logging.Handler;
import java.util.logging.Logger;

/** Form of the lines on standard error. */
public enum LogFormat {
  /** One line for each event, for people. */
  TEXT,

  /** One JSON object for each event, for collectors of logs. */
  JSON;

  /** Uses this form from now on in all handlers of the root logger. */
  public void install() {
    if (this == JSON) {
      for (Handler handler : Logger.getLogger("").getHandlers()) {
        handler.setFormatter(new JsonLogFormatter());
      }
    }
  }
}
