package org.vanillacove.daemon;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down, so that a graceful shutdown
 * can be followed in the log.
 */
public final class ShutdownLogManager extends LogManager {
  /** Creates the manager; called by the logging library. */
  public ShutdownLogManager() {}

  @Override
  public void reset() {
    // Handlers write to standard error, which needs no closing.
  }
}
