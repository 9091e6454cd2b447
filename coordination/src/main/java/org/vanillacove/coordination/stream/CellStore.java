package org.vanillacove.coordination.stream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.CellDigest;
import org.vanillacove.state.cell.CellSnapshot;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.FoldOutcome;

/** Holds the folded state under its own lock; thread-safe. */
public final class CellStore {
  /** Records between two digests of the state. */
  public static final int DIGEST_INTERVAL = 2_048;

  /** Digests kept for comparison. */
  private static final int MAX_DIGESTS = 4;

  /** Guards the state. */
  private final ReentrantLock lock = new ReentrantLock();

  /** Those who learn what was folded. */
  private final List<FoldListener> listeners = new CopyOnWriteArrayList<>();

  /** Own digests by the offset that they cover, oldest first. */
  private final LinkedHashMap<Long, Long> digests = new LinkedHashMap<>();

  /** The folded state. */
  private CellState state = new CellState();

  /** Leadership epoch of the state. */
  private volatile long epoch;

  /** Version of the configuration of the state. */
  private volatile long configurationVersion;

  /** Creates a store with an empty state. */
  public CellStore() {}

  /** Adds a listener, called in order of addition. */
  public void addListener(FoldListener listener) {
    listeners.add(listener);
  }

  /** Returns what {@code reader} reads from one consistent state; it must not keep the state. */
  public <T> T read(Function<CellState, T> reader) {
    lock.lock();
    try {
      return reader.apply(state);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the leadership epoch without waiting. */
  public long epoch() {
    return epoch;
  }

  /** Returns the version of the configuration in force without waiting. */
  public long configurationVersion() {
    return configurationVersion;
  }

  /** Returns the own digest that covers {@code throughOffset}. */
  public OptionalLong digestAt(long throughOffset) {
    lock.lock();
    try {
      Long digest = digests.get(throughOffset);
      return digest == null ? OptionalLong.empty() : OptionalLong.of(digest);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the newest own digest with the offset that it covers. */
  public Map<Long, Long> newestDigest() {
    lock.lock();
    try {
      Map.Entry<Long, Long> last = digests.lastEntry();
      return last == null ? Map.of() : Map.of(last.getKey(), last.getValue());
    } finally {
      lock.unlock();
    }
  }

  /** Folds a record and tells the listeners. */
  void apply(long offset, RecordEnvelope envelope) {
    FoldOutcome outcome;
    lock.lock();
    try {
      outcome = state.apply(offset, envelope);
      epoch = state.epoch();
      configurationVersion = state.configuration().version();
      takeDigest(offset);
    } finally {
      lock.unlock();
    }
    for (FoldListener listener : listeners) {
      listener.folded(offset, envelope, outcome);
    }
  }

  /** Passes over a record that cannot be read. */
  void skip(long offset) {
    lock.lock();
    try {
      state.skip(offset);
      takeDigest(offset);
    } finally {
      lock.unlock();
    }
  }

  /** Replaces the state as a whole and tells the listeners. */
  void reload(CellState newState) {
    lock.lock();
    try {
      state = newState;
      epoch = state.epoch();
      configurationVersion = state.configuration().version();
      digests.clear();
    } finally {
      lock.unlock();
    }
    listeners.forEach(FoldListener::reloaded);
  }

  /** Returns a copy of the whole state. */
  CellSnapshot snapshot() {
    return read(CellState::snapshot);
  }

  private void takeDigest(long offset) {
    if ((offset + 1) % DIGEST_INTERVAL == 0) {
      digests.put(offset, CellDigest.of(state));
      if (digests.size() > MAX_DIGESTS) {
        digests.pollFirstEntry();
      }
    }
  }
}
