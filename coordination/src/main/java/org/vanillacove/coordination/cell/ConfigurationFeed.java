package org.vanillacove.coordination.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.vanillacove.coordination.api.CellView.ConfigurationVersion;
import org.vanillacove.coordination.stream.CellStore;
import org.vanillacove.coordination.stream.EventShard;
import org.vanillacove.coordination.stream.FoldListener;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.ConfigurationEntry;
import org.vanillacove.state.cell.FoldOutcome;

/** Tells subscribers each configuration that comes into force; versions only rise. */
final class ConfigurationFeed implements FoldListener {
  /** The folded state. */
  private final CellStore store;

  /** Serialises the calls of subscribers. */
  private final EventShard shard = new EventShard();

  /** Those who are told. */
  private final List<Consumer<ConfigurationVersion>> subscribers = new ArrayList<>();

  /** Newest configuration seen, which a reload of the state never takes back. */
  private volatile ConfigurationEntry newest = ConfigurationEntry.NONE;

  ConfigurationFeed(CellStore store) {
    this.store = store;
  }

  /** Adds a subscriber, which is told the configuration in force at once if there is one. */
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
  public void folded(long offset, RecordEnvelope envelope, FoldOutcome outcome) {
    if (envelope.record() instanceof CellRecord.ConfigurationChanged) {
      shard.execute(this::update);
    }
  }

  @Override
  public void reloaded() {
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
