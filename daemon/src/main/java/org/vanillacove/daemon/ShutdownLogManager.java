package org.vanillacove.daemon;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during the shutdown of the JVM, so that the log also covers
 * a graceful shutdown.
 */
public final class ShutdownLogManager extends LogManager {
  /** Creates the manager; called reflectively by {@link LogManager}. */
  public ShutdownLogManager() {}

  @Override
  public void reset() {
    // Called by the JVM's shutdown hook. Handlers write to standard error, which needs no closing.
  }
}
