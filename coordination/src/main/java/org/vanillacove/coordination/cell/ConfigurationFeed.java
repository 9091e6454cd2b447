package org.vanillacove.coordination.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.vanillacove.coordination.api.CellView.ConfigurationVersion;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.RecordListener;
import org.vanillacove.coordination.stream.SerialExecutor;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.ConfigurationEntry;

/** Notifies subscribers of each configuration that comes into force, in ascending versions. */
final class ConfigurationFeed implements RecordListener {
  /** Cell state built from the records of the log. */
  private final CellStore store;

  /** Executor on which subscribers are called. */
  private final SerialExecutor shard = new SerialExecutor();

  /** Subscribers in order of notification. */
  private final List<Consumer<ConfigurationVersion>> subscribers = new ArrayList<>();

  /** Newest configuration seen; a reload of the state does not revert it. */
  private volatile ConfigurationEntry newest = ConfigurationEntry.NONE;

  ConfigurationFeed(CellStore store) {
    this.store = store;
  }

  /** Adds a subscriber and notifies it of the configuration in force, if there is one. */
  void subscribe(Consumer<ConfigurationVersion> subscriber) {
    shard.execute(
        () -> {
          subscribers.add(subscriber);
          if (newest.version() > 0) {
            subscriber.accept(versionOf(newest));
          }
        });
  }

  /** Returns the newest version in force on this host, zero before the first. */
  long version() {
    return newest.version();
  }

  @Override
  public void recordApplied(long offset, RecordEnvelope envelope, ApplyOutcome outcome) {
    if (envelope.record() instanceof CellRecord.ConfigurationChanged) {
      shard.execute(this::update);
    }
  }

  @Override
  public void stateReplaced() {
    shard.execute(this::update);
  }

  static ConfigurationVersion versionOf(ConfigurationEntry entry) {
    return new ConfigurationVersion(
        entry.version(), entry.document(), entry.author(), entry.reason());
  }

  private void update() {
    ConfigurationEntry current = store.read(CellState::configuration);
    if (current.version() > newest.version()) {
      newest = current;
      subscribers.forEach(subscriber -> subscriber.accept(versionOf(current)));
    }
  }
}
