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
 * The configuration in force on this host. Its version never decreases. A document that fails the
 * checks of this release is ignored, and the last valid one stays in force. Thread-safe.
 */
public final class ConfigurationInForce {
  /** Log of versions that come into force or are ignored. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Cell state, with the records of the log applied. */
  private final CellView view;

  /** Source of the wall time at which exceptions expire. */
  private final TimerService timer;

  /** Parses and checks documents. */
  private final ConfigurationLoader loader;

  /** Held while a newer version is loaded. */
  private final ReentrantLock lock = new ReentrantLock();

  /** Document in force; the built-in defaults before the first version. */
  private volatile Snapshot snapshot =
      new Snapshot(0, ConfigurationText.EMPTY, ConfigurationDocument.BUILT_IN);

  /** Highest version that was checked, whether valid or not. */
  private long lastCheckedVersion;

  /** Creates a holder that follows {@code view}. */
  public ConfigurationInForce(CellView view, TimerService timer, ConfigurationLoader loader) {
    this.view = view;
    this.timer = timer;
    this.loader = loader;
  }

  /**
   * A configuration document with its version.
   *
   * @param version log offset of its record, zero before the first
   * @param text document as JSON
   * @param document parsed document
   */
  public record Snapshot(long version, String text, ConfigurationDocument document) {}

  /** Returns the document in force, after loading a newer version if there is one. */
  public Snapshot current() {
    if (view.configurationVersion() > snapshot.version()) {
      refresh();
    }
    return snapshot;
  }

  /** Returns the values in force now, with the exceptions that haven't expired applied. */
  public EffectiveConfiguration effective() {
    return new EffectiveConfiguration(current().document(), now());
  }

  /** Returns the current wall time. */
  public Instant now() {
    return Instant.ofEpochMilli(timer.wallMillis());
  }

  private void refresh() {
    lock.lock();
    try {
      long newest = view.configurationVersion();
      if (newest > lastCheckedVersion) {
        view.configuration(newest).ifPresent(this::applyIfValid);
      }
    } finally {
      lock.unlock();
    }
  }

  private void applyIfValid(CellView.ConfigurationVersion version) {
    lastCheckedVersion = version.version();
    switch (loader.load(version.document())) {
      case DocumentOutcome.Accepted<ConfigurationDocument> accepted -> {
        snapshot = new Snapshot(version.version(), version.document(), accepted.value());
        LOGGER.atInfo().log("configuration: version %d is in force", version.version());
      }
      case DocumentOutcome.Rejected<ConfigurationDocument> rejected ->
          LOGGER.atWarning().log(
              "configuration: version %d is invalid, version %d stays in force: %s",
              version.version(), snapshot.version(), rejected.faults());
    }
  }
}
