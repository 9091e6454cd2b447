package org.vanillacove.coordination.stream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.ApplyOutcome;
import org.vanillacove.state.cell.CellDigest;
import org.vanillacove.state.cell.CellSnapshot;
import org.vanillacove.state.cell.CellState;

/** Holds the cell state built from the records of the log; thread-safe. */
public final class CellStore {
  /** Number of records between two digests of the state. */
  public static final int DIGEST_INTERVAL = 2_048;

  /** Maximum number of digests kept for comparison. */
  private static final int MAX_DIGESTS = 4;

  /** Guards the state. */
  private final ReentrantLock lock = new ReentrantLock();

  /** Listeners in order of notification. */
  private final List<RecordListener> listeners = new CopyOnWriteArrayList<>();

  /** Digests of the state on this host by the offset that they cover, oldest first. */
  private final LinkedHashMap<Long, Long> digests = new LinkedHashMap<>();

  /** Cell state built from the records of the log. */
  private CellState state = new CellState();

  /** Leadership epoch of the state, readable without the lock. */
  private volatile long epoch;

  /** Configuration version of the state, readable without the lock. */
  private volatile long configurationVersion;

  /** Creates a store with an empty state. */
  public CellStore() {}

  /** Adds a listener; listeners are called in the order in which they were added. */
  public void addListener(RecordListener listener) {
    listeners.add(listener);
  }

  /**
   * Runs {@code reader} on a consistent state and returns its result; it must not keep the state.
   */
  public <T> T read(Function<CellState, T> reader) {
    lock.lock();
    try {
      return reader.apply(state);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the leadership epoch without waiting for the lock. */
  public long epoch() {
    return epoch;
  }

  /** Returns the version of the configuration in force without waiting for the lock. */
  public long configurationVersion() {
    return configurationVersion;
  }

  /** Returns the digest of this host that covers {@code throughOffset}, empty if none is kept. */
  public OptionalLong digestAt(long throughOffset) {
    lock.lock();
    try {
      Long digest = digests.get(throughOffset);
      return digest == null ? OptionalLong.empty() : OptionalLong.of(digest);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the newest digest of this host by the offset that it covers, empty before the first.
   */
  public Map<Long, Long> newestDigest() {
    lock.lock();
    try {
      Map.Entry<Long, Long> last = digests.lastEntry();
      return last == null ? Map.of() : Map.of(last.getKey(), last.getValue());
    } finally {
      lock.unlock();
    }
  }

  /** Applies a record to the state and notifies the listeners. */
  void apply(long offset, RecordEnvelope envelope) {
    ApplyOutcome outcome;
    lock.lock();
    try {
      outcome = state.apply(offset, envelope);
      epoch = state.epoch();
      configurationVersion = state.configuration().version();
      recordDigest(offset);
    } finally {
      lock.unlock();
    }
    for (RecordListener listener : listeners) {
      listener.recordApplied(offset, envelope, outcome);
    }
  }

  /** Skips a record that cannot be decoded. */
  void skip(long offset) {
    lock.lock();
    try {
      state.skip(offset);
      recordDigest(offset);
    } finally {
      lock.unlock();
    }
  }

  /** Replaces the whole state and notifies the listeners. */
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
    listeners.forEach(RecordListener::stateReplaced);
  }

  /** Returns a copy of the whole state. */
  CellSnapshot snapshot() {
    return read(CellState::snapshot);
  }

  private void recordDigest(long offset) {
    if ((offset + 1) % DIGEST_INTERVAL == 0) {
      digests.put(offset, CellDigest.of(state));
      if (digests.size() > MAX_DIGESTS) {
        digests.pollFirstEntry();
      }
    }
  }
}
