package org.vanillacove.coordination.configuration;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.concurrent.locks.ReentrantLock;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.protocol.configuration.ConfigurationDocument;
import org.vanillacove.protocol.configuration.ConfigurationLoader;
import org.vanillacove.protocol.configuration.ConfigurationText;
import org.vanillacove.protocol.configuration.EffectiveConfiguration;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.timer.TimerService;

/**
 * The configuration in force on this host. The version never falls; a document that does not pass
 * the checks of this release is passed over and the last good one stays. Thread-safe.
 */
public final class ConfigurationInForce {
  /** Logs. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The folded state. */
  private final CellView view;

  /** Source of wall time, for expiry. */
  private final TimerService timer;

  /** Checks documents. */
  private final ConfigurationLoader loader;

  /** Guards the change of what is in force. */
  private final ReentrantLock lock = new ReentrantLock();

  /** What is in force. */
  private volatile Snapshot snapshot =
      new Snapshot(0, ConfigurationText.EMPTY, ConfigurationDocument.BUILT_IN);

  /** Highest version that was looked at, sound or not. */
  private long seenVersion;

  /** Creates a holder that follows {@code view}. */
  public ConfigurationInForce(CellView view, TimerService timer, ConfigurationLoader loader) {
    this.view = view;
    this.timer = timer;
    this.loader = loader;
  }

  /**
   * A document with its version.
   *
   * @param version version, zero before the first
   * @param text the document as JSON
   * @param document the document
   */
  public record Snapshot(long version, String text, ConfigurationDocument document) {}

  /** Returns the document in force. */
  public Snapshot current() {
    if (view.configurationVersion() > snapshot.version()) {
      advance();
    }
    return snapshot;
  }

  /** Returns the values in force now. */
  public EffectiveConfiguration effective() {
    return new EffectiveConfiguration(current().document(), now());
  }

  /** Returns wall time as an instant. */
  public Instant now() {
    return Instant.ofEpochMilli(timer.wallMillis());
  }

  private void advance() {
    lock.lock();
    try {
      long newest = view.configurationVersion();
      if (newest > seenVersion) {
        view.configuration(newest).ifPresent(this::take);
      }
    } finally {
      lock.unlock();
    }
  }

  private void take(CellView.ConfigurationVersion version) {
    seenVersion = version.version();
    switch (loader.load(version.document())) {
      case DocumentOutcome.Accepted<ConfigurationDocument> accepted -> {
        snapshot = new Snapshot(version.version(), version.document(), accepted.value());
        LOGGER.atInfo().log("configuration: version %d is in force", version.version());
      }
      case DocumentOutcome.Rejected<ConfigurationDocument> rejected ->
          LOGGER.atWarning().log(
              "configuration: version %d is passed over, %d stays: %s",
              version.version(), snapshot.version(), rejected.faults());
    }
  }
}
